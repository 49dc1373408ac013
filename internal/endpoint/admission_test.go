package endpoint

import (
	"testing"
	"time"

	"skylarklead/internal/route"
	"skylarklead/internal/settings"
	"skylarklead/internal/wire"
)

// Symptom: a large organisation crowds a small one out at the endpoints that hold
// the small one's prefixes.
// Sequence: it has a backlog at every endpoint of the group.
// Cause: it has a full share at each of them.
func TestBacklogsElsewhere(t *testing.T) {
	hash := route.OrganisationHash("large")
	const suspectAfter = 3 * time.Second
	e := &Endpoint{
		started:  time.Now().Add(-time.Minute),
		settings: &settings.Settings{Endpoint: &settings.Endpoint{SuspectAfter: settings.Duration(suspectAfter)}},
	}
	heard := e.now()
	e.group.peers = map[string]*peer{
		"backlog":      {hasLoad: true, loadAt: heard, load: wire.Load{Heavy: []uint64{1, hash}}},
		"none":         {hasLoad: true, loadAt: heard, load: wire.Load{Heavy: []uint64{1}}},
		"long silent":  {hasLoad: true, loadAt: heard - 2*suspectAfter, load: wire.Load{Heavy: []uint64{hash}}},
		"not heard of": {},
	}
	if got := e.backlogsElsewhere("large"); got != 1 {
		t.Errorf("%d backlogs of the large one elsewhere, want 1", got)
	}
	if got := e.backlogsElsewhere("small"); got != 0 {
		t.Errorf("%d backlogs of the small one elsewhere, want 0", got)
	}
}
