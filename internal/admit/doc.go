// Package admit is the admission core of an endpoint process, the only feeder
// of its engine: which waiting request starts next, and which is refused.
//
// Requests wait in one queue for each organisation, served by start-time fair
// queueing over work (queue.go). A part of the running places and of the queue
// is out of reach of an organisation that already has its share (core.go).
// What can't be served in time is refused on arrival, the largest user first
// (shed.go). Room for running requests in the KV cache is estimated in kv.go.
//
// The package is pure: events in, actions out, time passed in. A Core is not
// safe for concurrent use.
package admit
