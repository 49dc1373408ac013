package entry

import (
	"context"

	"skylarklead/internal/config"
	"skylarklead/internal/follow"
	"skylarklead/internal/protocol"
)

// configuration is the part of follow.Follower that an entry uses.
type configuration interface {
	// State returns the newest accepted state, nil before the first.
	State() *config.State
	// Ready is closed once there is a state.
	Ready() <-chan struct{}
	// Source says where the state came from; LogReachable whether the log answers.
	Source() string
	LogReachable() bool
	// PeerHasOffset records the configuration offset of a peer, which fetch can retrieve.
	PeerHasOffset(offset uint64, fetch follow.FetchFunc)
	// Fetch answers a peer's ConfigFetch.
	Fetch(m *protocol.ConfigFetch) (*protocol.ConfigState, error)
	// Run follows the configuration until ctx ends.
	Run(ctx context.Context) error
}
