package cachemap

import (
	"time"

	"skylarklead/internal/prefix"
)

// Kind is what an event tells.
type Kind string

// The kinds, as engines publish them.
const (
	Stored  Kind = "stored"
	Removed Kind = "removed"
	Cleared Kind = "cleared"
)

// Event is one cache event of an engine. Seq grows by one from 1 in each
// incarnation.
type Event struct {
	Seq         uint64
	Incarnation string
	Weights     string
	Kind        Kind
	Hashes      []prefix.Hash
}

// Action is what the caller must do.
type Action interface{ action() }

// Resync asks for the engine's events again from a sequence number. The caller
// opens the event stream anew there and then calls Connected.
type Resync struct{ From uint64 }

func (Resync) action() {}

// Params bound a Picture. Zero fields take the defaults.
type Params struct {
	// MaxBlocks bounds the blocks remembered.
	MaxBlocks int
	// MaxLevels bounds the levels tracked.
	MaxLevels int
	// StaleTTL is how long blocks that may have been removed in an unfilled
	// gap still count as resident.
	StaleTTL time.Duration
}

// Defaults of Params. Engines evict within seconds, so a doubtful block is not
// believed for longer than that.
const (
	DefaultMaxBlocks = 1 << 16
	DefaultMaxLevels = 4096
	DefaultStaleTTL  = 5 * time.Second
)

func (p Params) withDefaults() Params {
	if p.MaxBlocks <= 0 {
		p.MaxBlocks = DefaultMaxBlocks
	}
	if p.MaxLevels <= 0 {
		p.MaxLevels = DefaultMaxLevels
	}
	if p.StaleTTL <= 0 {
		p.StaleTTL = DefaultStaleTTL
	}
	return p
}
