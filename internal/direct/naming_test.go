package direct

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/rollout"
	"skylarklead/internal/settings"
	"skylarklead/internal/telemetry"
)

const (
	wantedModel  = "m0"
	wantedWithin = 10 * time.Second
)

// wantedRecords decodes each of the operator's records as a name of version 2.
type wantedRecords struct{ listRecords }

func (wantedRecords) Operator(string, []byte) (*fleet.Configuration, *fleet.DesiredVersion, error) {
	return nil, &fleet.DesiredVersion{Model: wantedModel, Version: 2}, nil
}

// Symptom: an entry begins requests on weights that were replaced longer ago than allowed,
// while its peers don't.
//
// Sequence: the store turns that entry away for nine seconds; a version of weights is named
// just after the first of them. The entry reads that when the store serves it again, and
// what its peers wrote down of when it was named.
//
// Cause: a version counts as named from its reading, which may be long after it was.
func TestWeightsNamedInAnOutageAreOverdueInTime(t *testing.T) {
	s := &settings.Settings{ID: "entry-1", Role: "direct", Direct: &settings.Direct{
		Memory: 16, WeightsWithin: settings.Duration(wantedWithin),
	}}
	tel, err := telemetry.New(s, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	for _, hangs := range []bool{false, true} {
		for phase := time.Duration(0); phase < 4500*time.Millisecond; phase += 150 * time.Millisecond {
			for _, wordFirst := range []bool{false, true} {
				synctest.Test(t, func(t *testing.T) {
					began := time.Now()
					named := began.Add(2 * time.Second)
					back := began.Add(9*time.Second + phase)
					e := newEntry(s, tel, Platform{Records: wantedRecords{}, Store: &listStore{
						topic:  "operator",
						writes: []listWrite{{at: named, record: fleet.Record{Key: "version", Value: []byte("2")}}},
						from:   began.Add(time.Second), to: back, hangs: hangs,
					}})
					word := &rollout.Announcement{Model: wantedModel, Version: 2, Before: 1, AtMs: named.UnixMilli()}
					ctx, cancel := context.WithCancel(t.Context())
					done := make(chan struct{})
					go func() { e.followOperator(ctx); close(done) }()
					binds := named.Add(wantedWithin)
					if touch := back.Add(bindsAfter); touch.After(binds) {
						binds = touch
					}
					if wordFirst {
						time.Sleep(back.Sub(began))
						e.applyAnnouncement(word)
					}
					time.Sleep(time.Until(binds.Add(-500 * time.Millisecond)))
					e.applyAnnouncement(word)
					time.Sleep(time.Until(binds))
					e.state.mu.Lock()
					oldest := e.state.demands[wantedModel].OldestAllowed(e.clock.now())
					e.state.mu.Unlock()
					cancel()
					<-done
					time.Sleep(namingSpread) // what would write the naming down has read it by then
					if oldest != 2 {
						t.Errorf("hangs=%v phase=%v wordFirst=%v: requests may begin on weights before %d, %v after the store's return",
							hangs, phase, wordFirst, oldest, binds.Sub(back))
					}
				})
			}
		}
	}
}
