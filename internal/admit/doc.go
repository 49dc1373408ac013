// Package admit decides which waiting request starts next and which is refused. Core
// is the admission control of an endpoint process, which alone sends requests to its
// engine. WaitQueue, CongestionWindow and UpcomingCapacity are for entries that
// dispatch requests directly to replicas.
//
// In a Core, requests wait in one queue per organisation. The queues are served by
// start-time fair queueing over work (queue.go). Some of the running slots and of the
// queue are not available to an organisation that already uses its share (core.go).
// Requests that can't be served in time are refused on arrival, those of the
// organisation with the most work waiting first (shed.go). kv.go estimates whether the
// KV cache has room for a request.
//
// The package is pure: events in, actions out, with the time passed in. Its types are
// not safe for concurrent use.
package admit
