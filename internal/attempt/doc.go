// Package attempt holds the state machines of a single request: which attempt may
// deliver to the caller, when to resume, retry or give up, and which outcome (run, not
// run, unknown) may be reported.
//
// All types are pure: events come in as method calls with the time since process
// start, actions are returned as values. They are not safe for concurrent use; the
// owner of a value serialises its calls.
package attempt
