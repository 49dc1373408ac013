// Package route decides which endpoint runs a request.
//
// The entry names a request's owner by rendezvous hashing (rendezvous.go). The
// owner's Router keeps what it has learnt about who holds which prefix
// (table.go), how hot each prefix is (heat.go) and how much work is where between
// load reports (occupancy.go), and decides in three steps:
// filter, score, pick (decide.go). The baselines to measure against are in
// baseline.go.
//
// The package is pure: time and randomness are passed in, and nothing here
// blocks. A Router is not safe for concurrent use.
package route
