package attempt

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// outageWorld is a crashWorld in which replicas are lost in waves, entries find that up to the correlation window
// later, and all entries start again with what the store has of reports.
type outageWorld struct {
	*crashWorld
	due    []worldEvent
	stored []storedReport
	losses []*StoredLosses
}

type worldEvent struct {
	at time.Duration
	do func()
}

type storedReport struct {
	report CrashReport
	sound  []SoundKey
	at     time.Duration
}

func (w *outageWorld) advance() {
	w.due = slices.DeleteFunc(w.due, func(e worldEvent) bool {
		if e.at <= w.now {
			e.do()
		}
		return e.at <= w.now
	})
	w.step()
}

// wave loses replicas at the same moment; each entry finds that at a time of its own.
func (w *outageWorld) wave(replicas ...int) {
	w.running = slices.DeleteFunc(w.running, func(r *worldRun) bool {
		lost := slices.Contains(replicas, r.replica)
		if lost {
			w.entries[r.entry].RecordBrokenRun(r.keys, w.replicaID(r.replica), r.began, w.now)
		}
		return lost
	})
	for _, replica := range replicas {
		id := w.replicaID(replica)
		w.started[replica]++
		for i, e := range w.entries {
			at := w.now + time.Duration(w.rng.Int64N(int64(DefaultCrashTrackerParams.CorrelationWindow)))
			w.due = append(w.due, worldEvent{at, func() { w.find(i, e, id) }})
		}
	}
}

// storeSound has entries store the good answers that clear what they have stored.
func (w *outageWorld) storeSound() {
	for i, e := range w.entries {
		if list := w.losses[i].TakeCleared(e, 64, w.now); len(list) > 0 {
			w.stored = append(w.stored, storedReport{sound: list, at: w.now})
		}
	}
}

func (w *outageWorld) find(i int, e *CrashTracker, replica string) {
	if w.entries[i] != e {
		return // it has started again
	}
	reports := e.RecordLostReplica(replica, w.now)
	for _, r := range reports {
		w.stored = append(w.stored, storedReport{report: r, at: w.now})
		w.losses[i].Add(&r, w.now)
	}
	w.tell(i, func(o *CrashTracker) { w.merge(o, reports) })
}

// restart starts all entries again, which read the records of the store.
func (w *outageWorld) restart() {
	w.inFlight, w.running = nil, nil
	for i := range w.entries {
		w.entries[i], w.losses[i] = NewCrashTracker(DefaultCrashTrackerParams, uint64(i+1)), NewStoredLosses(1000)
		for _, s := range w.stored {
			if s.sound != nil {
				for _, key := range s.sound {
					w.entries[i].MergeStoredSound(key.Key, s.at-key.Age())
				}
				continue
			}
			w.entries[i].MergePast(s.report.Aged(w.now-s.at), w.now)
			w.entries[i].Judge(s.report.Replica, w.now)
		}
	}
}

// Guards against parts of prompts that most sound requests share and that are given up amid waves of lost replicas
// of another cause, whose losses are found late, and after all entries have started again.
func TestSharedPartsOutliveWavesOfLostReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		w := &outageWorld{crashWorld: &crashWorld{rng: rand.New(rand.NewPCG(seed, 2)), started: make([]int, 12), lost: rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "lost")}}
		for i := range rapid.IntRange(1, 8).Draw(t, "entries") {
			w.entries = append(w.entries, NewCrashTracker(DefaultCrashTrackerParams, uint64(i+1)))
			w.losses = append(w.losses, NewStoredLosses(1000))
		}
		every := time.Duration(rapid.IntRange(25, 200).Draw(t, "every")) * worldStep
		restartAt := time.Duration(rapid.IntRange(400, 900).Draw(t, "restart")) * worldStep
		for w.now < 20*time.Second {
			w.advance()
			w.sendSound()
			w.sendSound()
			if w.now%every == 0 && w.now < 16*time.Second {
				w.wave(w.rng.Perm(len(w.started))[:4]...)
			}
			if w.now%(15*worldStep) == 0 {
				w.storeSound()
			}
			if w.now == restartAt {
				w.restart()
			}
			for _, e := range w.entries {
				for part := sharedKey; part < sharedKey+4; part++ {
					if _, _, givenUp := e.GivenUp(RequestKeys{Parts: []uint64{part}}, w.now); givenUp {
						t.Fatalf("part %d is given up at %v", part, w.now)
					}
				}
			}
		}
	})
}
