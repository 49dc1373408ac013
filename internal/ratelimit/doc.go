// Package ratelimit divides the request rates that replicas name among the entries that send to
// them: what all entries together may send to a replica is the rate that it takes.
//
// A replica names its rate in its answers, to whichever entry gets one, and no entry hears how much
// the others send. So each entry takes a fixed part that follows from the list of entries alone:
// the parts sum to the whole, in touch or not. Where a part would be of no use, since not even one
// request saved up by each entry would fit, few entries have parts, by rendezvous hashing, and the
// others send nothing.
//
// The package is pure: events in, decisions out, times passed in.
package ratelimit
