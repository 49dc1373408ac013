// Package divide has what all limits divided among the entries have in common: an entry's
// knowledge of the list of entries, and the token bucket with its share. It is pure.
package divide
