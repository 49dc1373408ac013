// Package rollout brings the replicas of a model to the version of its weights
// that the operator wants. One entry at a time, the holder of a lease, gives the
// orders; it tells all entries beforehand by notes on a topic that they follow, so
// that a replica that is about to load gets no new work. It is pure.
package rollout
