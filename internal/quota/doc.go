// Package quota enforces organisations' quotas: limits on usage that all entries share.
//
// Each entry has a share of every quota, which it may spend without asking others, kept as a
// token bucket, and lends from it to entries that lack units. Units are only ever moved
// between entries, as in an escrow (O'Neil, "The Escrow Transactional Method", 1986;
// shares by demand: Raghavan et al., "Cloud Control with Distributed Rate Limiting",
// 2007). So the sum holds without agreement, however messages are lost and processes
// stop; docs/design/quota.md has the budget.
//
// The package has no clock, network or goroutine: callers pass the time and carry messages.
package quota
