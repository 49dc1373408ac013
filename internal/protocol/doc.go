// Package protocol defines what the processes of the roles entry and endpoint
// exchange: messages, outcomes, codes and epochs. Package wire encodes the messages
// and carries them over sessions. Packages that make decisions use these types
// without needing a session.
//
// The messages are in opening.go (opening a session), asking.go (where to run a
// request), running.go and stream.go (running it, and its answer), transfer.go
// (cache blocks from one engine to another), heartbeat.go, configuration.go and
// status.go (for the tool); kinds.go numbers them.
package protocol
