// Package config implements the fleet's configuration: the records that operators
// publish on the platform's log, the deterministic state machine by which every
// process accepts or refuses them in offset order, and the snapshots that preserve
// the state beyond the log's retention. It does no I/O.
package config
