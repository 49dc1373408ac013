// Package direct implements an entry that dispatches requests to replicas itself.
// It connects the decision packages (attempt, member, route, rollout, lease) to sockets and
// the store. Names and formats of the platform stay behind the interfaces in ports.go.
//
// A request passes through Entry.serveHTTP, request.admit, request.readBody and request.run;
// request.dispatch then waits for a placement, forwards the request and retries until it is
// answered. state holds what the entry knows of replicas, versions of weights and other entries.
package direct
