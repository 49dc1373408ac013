package direct

import (
	"context"
	"net/http"

	"skylarklead/internal/fleet"
)

// Headers translates the headers of requests and responses between the platform and the entry.
type Headers interface {
	// Request decodes the headers of a caller's request.
	Request(http.Header) (fleet.Request, error)
	// ToReplica returns the headers of a request to a replica.
	ToReplica(http.Header, *fleet.DispatchHeaders) http.Header
	// Answer decodes the status and headers of a replica's response.
	Answer(status int, h http.Header) fleet.Answer
	// EventVersion returns the version of the weights that an event of a stream says it changed to, 0
	// if it says nothing.
	EventVersion(event []byte) uint64
	// ToCaller returns the headers of a response to a caller.
	ToCaller(http.Header) http.Header
	// Refusal sets the headers of a response that the entry itself generates.
	Refusal(h http.Header, requestID string)
}

// Records decodes the records in the platform's store.
type Records interface {
	// Topics returns the names of the operator's topic and the replicas' topic.
	Topics() (operator, replicas string)
	// Operator decodes a record of the operator; both results are nil if its kind is unknown.
	Operator(key string, value []byte) (*fleet.Configuration, *fleet.DesiredVersion, error)
	// Replica decodes a replica's record.
	Replica(key string, value []byte) (*fleet.Replica, error)
}

// Replicas calls the replicas of models. The notice is what the replica announces about itself in the
// headers of its response, and is valid whatever the outcome of the call.
type Replicas interface {
	// Order sends an order. None arrives after Order has returned: what was sent last must arrive last.
	Order(context.Context, *fleet.Order) (fleet.Reply, fleet.Notice, error)
	Report(context.Context, *fleet.Replica) (fleet.Report, fleet.Notice, error)
	// Identity returns the name of the replica that answers health checks at a replica's address.
	Identity(ctx context.Context, r *fleet.Replica, healthPath string) (string, error)
}

// Platform is what the adapter of a platform provides.
type Platform struct {
	Store    fleet.Store
	Headers  Headers
	Records  Records
	Replicas Replicas
	// ReadyPath is the path at which the platform checks whether the entry accepts new connections.
	ReadyPath string
}
