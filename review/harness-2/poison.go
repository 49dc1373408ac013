package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// stableTime is stable_ms.
	stableTime = 3 * time.Second
	// killedFor is how long the killed processes are away: for_s of the site's herd_kill.
	killedFor = 2 * time.Second
	// crashesKnown is how many crashes a request must have caused for later ones to count, lateAllowed how
	// many later ones are allowed.
	crashesKnown = 3
	lateAllowed  = 3
	// poisonPause is the pause between arrivals of the request that crashes replicas.
	poisonPause  = 4 * time.Second
	poisonRounds = 5
	// quietTime is for how long the lookup doesn't come then: longer than the store's 20 s of history.
	quietTime = 20 * time.Second
)

// topics are those that the store has: the operator's, the replicas' and the entries' own.
var topics = []string{"keyed.op", "keyed.servers", "keyed.skylark.peers", "skylark.entries"}

func setUpPoison(s *site) error {
	if err := s.addPortals(3, func(*replica) {}); err != nil {
		return err
	}
	return s.addEntries(3)
}

// playPoison sends a lookup that crashes the replicas that run it until it isn't run any more; then the
// store forgets its history and all entries are killed at once; then the lookup comes again.
func playPoison(s *site, trouble bool) ([]string, error) {
	t := &traffic{log: s.log}
	for range 3 {
		s.sendPoison(t, s.entries[:1])
		time.Sleep(poisonPause)
	}
	before := s.crashes(time.Time{})
	if len(before) < crashesKnown {
		return nil, fmt.Errorf("the lookup crashed %d replicas, want %d or more", len(before), crashesKnown)
	}
	bound := before[crashesKnown-1].Add(stableTime)
	if early := s.crashes(bound); len(early) > 0 {
		s.log.add("counted    %d runs late, before the disruption", len(early))
	}
	time.Sleep(quietTime)
	if trouble {
		s.log.add("history    of the store is forgotten")
		for _, topic := range topics {
			s.store.Compact(topic)
		}
		time.Sleep(time.Second)
		for _, e := range s.entries {
			s.log.add("SIGKILL    %s", e.name)
			_ = e.cmd.Process.Kill()
		}
		time.Sleep(killedFor)
		for _, e := range s.entries {
			<-e.exited
			if err := e.start(); err != nil {
				return nil, err
			}
		}
		for _, e := range s.entries {
			if err := s.awaitReady(e); err != nil {
				return nil, err
			}
		}
	}
	time.Sleep(stableTime + time.Second) // until the machines are in touch
	for range poisonRounds {
		s.sendPoison(t, s.entries)
		time.Sleep(poisonPause)
	}
	late := s.crashes(bound)
	summary := fmt.Sprintf("the lookup crashed %d replicas before, and was sent to replicas %d times later than %v after the third crash", len(before), len(late), stableTime)
	s.log.add("counted    %s", summary)
	fmt.Println(summary)
	if len(late) <= lateAllowed {
		return nil, nil
	}
	return []string{"BUDGET: " + summary}, nil
}

// sendPoison sends the lookup through each of some entries at the same time.
func (s *site) sendPoison(t *traffic, entries []*entry) {
	var clients sync.WaitGroup
	for _, e := range entries {
		clients.Go(func() {
			c, err := dial(e.front)
			if err != nil {
				s.log.add("no connection to %s: %v", e.name, err)
				return
			}
			defer c.close()
			t.do(c, e.name, newCall(lookPath, crashBody, payDeadline))
		})
	}
	clients.Wait()
}

// crashes returns when replicas began to run the lookup that crashes them, after a time, in order.
func (s *site) crashes(after time.Time) []time.Time {
	var list []time.Time
	for _, r := range s.replicas {
		r.mu.Lock()
		for _, run := range r.runs {
			if run.crash && run.at.After(after) {
				list = append(list, run.at)
			}
		}
		r.mu.Unlock()
	}
	slices.SortFunc(list, time.Time.Compare)
	return list
}
