package direct

import (
	"context"
	"net/http"

	"skylarklead/internal/fleet"
)

// Headers translates the headers of requests and answers.
type Headers interface {
	// Request decodes what a caller's headers say.
	Request(http.Header) (fleet.Request, error)
	// ToReplica returns the headers for a replica.
	ToReplica(http.Header, *fleet.DispatchHeaders) http.Header
	// Answer decodes the head of a replica's answer.
	Answer(status int, h http.Header) fleet.Answer
	// ToCaller returns the headers for a caller.
	ToCaller(http.Header) http.Header
	// Refusal sets the headers of an answer of the entry's own.
	Refusal(h http.Header, requestID string)
}

// Records decodes the records of the platform's store.
type Records interface {
	// Topics names the topics of the operator and of the replicas.
	Topics() (operator, replicas string)
	// Operator decodes a record of the operator; both results are nil for one that
	// isn't known.
	Operator(key string, value []byte) (*fleet.Configuration, *fleet.DesiredVersion, error)
	// Replica decodes a replica's record.
	Replica(key string, value []byte) (*fleet.Replica, error)
}

// Replicas calls the replicas of models. Whatever the answer, the notice is what the replica says
// of itself in its head.
type Replicas interface {
	Order(context.Context, *fleet.Order) (fleet.Reply, fleet.Notice, error)
	Report(context.Context, *fleet.Replica) (fleet.Report, fleet.Notice, error)
}

// Platform is what the adapter of a platform gives.
type Platform struct {
	Store    fleet.Store
	Headers  Headers
	Records  Records
	Replicas Replicas
	// ReadyPath is where the platform asks whether new connections may come.
	ReadyPath string
}
