package cachemap

import (
	"time"

	"skylarklead/internal/prefix"
)

// Kind is the kind of change that an event reports.
type Kind string

// The kinds, as engines publish them.
const (
	Stored  Kind = "stored"
	Removed Kind = "removed"
	Cleared Kind = "cleared"
)

// Event is one cache event of an engine. Seq starts at 1 in each incarnation and increases by
// one.
type Event struct {
	Seq         uint64
	Incarnation string
	Weights     string
	Kind        Kind
	Hashes      []prefix.Hash
}

// Action is something that the caller must do.
type Action interface{ action() }

// Resync requests the engine's events again from a sequence number. The caller reopens the event
// stream there and then calls Connected.
type Resync struct{ From uint64 }

func (Resync) action() {}

// Params bound a View. Zero fields take the defaults.
type Params struct {
	// MaxBlocks bounds the blocks in the view.
	MaxBlocks int
	// MaxLevels bounds the tracked levels.
	MaxLevels int
	// StaleTTL is how long blocks that may have been removed in a gap still count as resident.
	StaleTTL time.Duration
}

// Defaults of Params. Engines evict within seconds, so a stale block is not kept for longer than
// that.
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
