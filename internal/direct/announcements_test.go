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

// wantedRecords decodes each of the operator's records as an announcement of version 2.
type wantedRecords struct{ listRecords }

func (wantedRecords) Operator(string, []byte) (*fleet.Configuration, *fleet.DesiredVersion, error) {
	return nil, &fleet.DesiredVersion{Model: wantedModel, Version: 2}, nil
}

// Weights announced during an outage must be overdue in time. The store rejects one entry for nine
// seconds, and a version is announced just after the outage begins. The entry reads the version,
// and its peers' records of when it was announced, after the outage. If the time of the read
// counted as the announcement, the entry would begin requests on replaced weights for longer than
// allowed.
func TestWeightsNamedInAnOutageAreOverdueInTime(t *testing.T) {
	s := &settings.Settings{ID: "entry-1", Role: "direct", Direct: &settings.Direct{
		MemoryMB: 16, WeightsWithin: settings.Duration(wantedWithin),
	}}
	tel, err := telemetry.New(s, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	for _, hangs := range []bool{false, true} {
		for phase := time.Duration(0); phase < 4500*time.Millisecond; phase += 150 * time.Millisecond {
			for _, announcementFirst := range []bool{false, true} {
				synctest.Test(t, func(t *testing.T) {
					began := time.Now()
					announcedAt := began.Add(2 * time.Second)
					back := began.Add(9*time.Second + phase)
					e := newEntry(s, tel, Platform{Records: wantedRecords{}, Store: &listStore{
						topic:  "operator",
						writes: []listWrite{{at: announcedAt, record: fleet.Record{Key: "version", Value: []byte("2")}}},
						from:   began.Add(time.Second), to: back, hangs: hangs,
					}})
					announcement := &rollout.Announcement{Model: wantedModel, Version: 2, Before: 1, AtMs: announcedAt.UnixMilli()}
					ctx, cancel := context.WithCancel(t.Context())
					done := make(chan struct{})
					go func() { e.followOperator(ctx); close(done) }()
					deadline := announcedAt.Add(wantedWithin)
					if bindsAt := back.Add(storeBindsWithin); bindsAt.After(deadline) {
						deadline = bindsAt
					}
					if announcementFirst {
						time.Sleep(back.Sub(began))
						e.applyAnnouncement(announcement)
					}
					time.Sleep(time.Until(deadline.Add(-500 * time.Millisecond)))
					e.applyAnnouncement(announcement)
					time.Sleep(time.Until(deadline))
					e.state.mu.Lock()
					oldest := e.state.versionHistories[wantedModel].OldestAllowed(e.clock.now())
					e.state.mu.Unlock()
					cancel()
					<-done
					time.Sleep(announcementSpread) // a pending goroutine that would record the announcement has read the peers' record by then
					if oldest != 2 {
						t.Errorf("hangs=%v phase=%v announcementFirst=%v: requests may begin on weights before %d, %v after the end of the outage",
							hangs, phase, announcementFirst, oldest, deadline.Sub(back))
					}
				})
			}
		}
	}
}
