// Package route decides which endpoint or replica runs a request, so that requests with a common
// prompt prefix reuse the KV cache of the engine that already holds it.
//
// In a group, the entry finds a request's owner by rendezvous hashing (owner.go). The owner's
// Router records which endpoint holds which prefix (table.go), how hot each prefix is (heat.go)
// and how much work each endpoint has between load reports (occupancy.go). It decides in three
// steps: filter, score, pick (decide.go). The baseline policies that it is compared with are in
// baseline.go.
//
// A direct entry dispatches to replicas itself and chooses with a Picker.
//
// The package does no I/O: time and randomness are passed in, and no call blocks. Neither a
// Router nor a Picker is safe for concurrent use.
package route
