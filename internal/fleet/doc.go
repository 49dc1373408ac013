// Package fleet has the types that are shared by the parts of an entry that dispatches to
// replicas directly: the operator's configuration, the replicas, and what a request asks
// for. It is below the decision packages and the adapter of the platform, imports neither,
// and does no I/O.
package fleet
