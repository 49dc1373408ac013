// Package direct implements an entry that dispatches requests to replicas itself.
// It connects the decision packages (attempt, member, route, rollout, lease) to sockets and
// the store. Names and formats of the platform stay behind the interfaces in ports.go.
//
// A request passes through Entry.serveHTTP, request.admit, request.readBody and request.run;
// request.dispatch then waits for a placement, forwards the request and retries until it is
// answered. state holds what the entry knows of replicas, versions of weights and other entries.
//
// Each of four topics of the store has a follower: the operator's records (followOperator), the
// replica list (followReplicas), the entries' own topic (rollouts.followEntries) and the list of
// entries (peers.follow). With a hub, only a few entries read the store, and the others get the
// records from them. Entries also send each other loads, placements and notices as datagrams (peers,
// digests) and lend each other units of quotas (quotas). The one that holds the lease issues the
// orders of rollouts (rollouts). replicaMonitor detects replicas that no longer respond.
package direct
