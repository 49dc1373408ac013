// Package spread decides how entries distribute a store's topics among themselves, so that
// few of them read the store. All entries sort themselves in the same order, and each one
// queries the first of its predecessors that answers; an entry that has none reads the
// store itself.
//
// An entry's knowledge of a topic is a watermark with a time: all records which the store
// acknowledged before that time are known. The time is when the call was made whose answer
// showed it, or when a peer was queried, less the age that the peer reports. So it is never
// too late, however long a message was under way and whichever way it took. Before the age
// reaches the topic's limit the entry reads the store itself.
//
// The package is pure: times are of a steady clock that counts suspension, and are passed in.
package spread
