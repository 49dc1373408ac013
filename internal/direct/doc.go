// Package direct is the role of an entry that hands requests to replicas itself.
// It wires the decisions (attempt, member, route, rollout, lease) to sockets; the
// platform's names stay behind the interfaces of ports.go.
package direct
