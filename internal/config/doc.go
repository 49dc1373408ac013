// Package config is the fleet's configuration: the operators' records on the
// platform's log, the one deterministic rule by which every process accepts or
// refuses them in offset order, and the snapshot that outlives the log's
// retention. It does no I/O.
package config
