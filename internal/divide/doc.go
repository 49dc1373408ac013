// Package divide has what limits that are divided among the entries have in common: what an entry
// knows of the list of entries, and the bucket that it takes its part from. It is pure.
package divide
