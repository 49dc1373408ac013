// Package spread decides how entries pass on what a store of topics says, so that few
// of them read it. Each entry orders its peers in the same way and asks the first of
// those before it that answers; one that has nobody to ask reads the store itself.
//
// What an entry believes of a topic is a value with its time: that all records which the
// store acknowledged before a moment are known. The moment is when the call was made whose
// answer showed it, or when a peer was asked, less the age that the peer tells; so it is
// never later than the truth, however long a message was under way and wherever it came
// from. Before that age reaches what a topic allows the entry reads for itself.
//
// The package is pure: times are of a steady clock that counts suspension, and are passed in.
package spread
