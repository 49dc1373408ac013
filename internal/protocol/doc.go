// Package protocol is the vocabulary of the processes of the roles entry and
// endpoint: the messages that they exchange, outcomes, codes, epochs. Package wire
// encodes it and carries it over sessions; decisions take their words from here and
// need no session.
//
// The messages are in opening.go (who is at the other end), asking.go (where to run
// a request), running.go and stream.go (running it and its answer), transfer.go
// (cache blocks from one engine to another), heartbeat.go, configuration.go and
// status.go (for the tool); kinds.go numbers them.
package protocol
