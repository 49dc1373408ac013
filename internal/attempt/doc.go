// Package attempt decides what becomes of one request: which attempt may deliver
// to its caller, when to resume, retry or give up, and what may truthfully be
// said of whether it ran.
//
// Everything here is pure: events come in as method calls with the time since
// process start, actions come back as values. The owner of a value serialises
// its calls.
package attempt
