// Package ratelimit divides the request rates that replicas announce among the entries that send
// to them: all entries together may send to a replica at the rate that it accepts.
//
// A replica announces its rate in its answers, to whichever entry gets one, and no entry learns how
// much the others send. So each entry takes a fixed share that follows from the list of entries
// alone: the shares sum to the whole, whether or not the entries are in touch. If the shares would
// be too small, so that not even one accumulated request per entry fits the limit, only a few entries
// chosen by rendezvous hashing have a share, and the others send nothing.
//
// The package is pure: events in, decisions out, times passed in.
package ratelimit
