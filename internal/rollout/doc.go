// Package rollout brings the replicas of a model to the version of its weights that the
// operator announced. One entry at a time, the holder of a lease, sends the orders. Before each
// it publishes a rollout record on a topic that all entries follow, so that a replica that
// is about to load gets no new work. The package is pure: it does no I/O.
package rollout
