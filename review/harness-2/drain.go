package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// lateFrom and lateUntil are when, after SIGTERM, requests come on connections that were kept: later
	// than the 3 s up to which the rule excuses long requests.
	lateFrom  = 5600 * time.Millisecond
	lateUntil = 6300 * time.Millisecond
	lateStep  = 100 * time.Millisecond
	// longWork is the work of a request that lasts longer than its route's timeout.
	longWork = "work_ms=2600"
	// payDeadline is the deadline of payments, payTimeout their route's timeout.
	payDeadline = 4 * time.Second
	payTimeout  = 2 * time.Second
	// lostAfter is lost_ms: a connection that is closed sooner isn't counted unless the request was passed on.
	lostAfter = 200 * time.Millisecond
	// excusedUntil is until when after SIGTERM requests may be cut while their replica is at work.
	excusedUntil = 3 * time.Second
)

func setUpDrain(s *site) error {
	if err := s.addPortals(3, func(*replica) {}); err != nil {
		return err
	}
	if err := s.addEngines(3); err != nil {
		return err
	}
	return s.addEntries(3)
}

func (s *site) addEntries(n int) error {
	for range n {
		if _, err := s.addEntry(); err != nil {
			return err
		}
	}
	return nil
}

// playDrain stops one entry as in a rolling restart, while clients with kept connections go on.
func playDrain(s *site, trouble bool) ([]string, error) {
	t, stopped := &traffic{log: s.log}, s.entries[0]
	stop, stopFirst := make(chan struct{}), make(chan struct{})
	var clients sync.WaitGroup
	for i, e := range s.entries {
		until := stop
		if i == 0 {
			until = stopFirst // the platform sends it no new connections after SIGTERM
		}
		clients.Go(func() {
			t.repeat(e, until, 50*time.Millisecond, func() *call { return newCall(payPath, "work_ms=60", payDeadline) }, func(*call, answer) {})
		})
	}
	time.Sleep(2 * time.Second)
	var kept []*connection
	for at := lateFrom; at <= lateUntil; at += lateStep {
		c, err := dial(stopped.front)
		if err != nil {
			return nil, err
		}
		defer c.close()
		if a := t.do(c, stopped.name, newCall(payPath, "work_ms=60", payDeadline)); a.err != nil || a.status != 200 {
			return nil, fmt.Errorf("a request before the stop: %s", a.String())
		}
		kept = append(kept, c)
	}
	// A stream that began before SIGTERM is being answered meanwhile.
	clients.Go(func() {
		c, err := dial(stopped.front)
		if err != nil {
			return
		}
		defer c.close()
		k := newCall(streamPath, "events=110 gap_ms=60", 15*time.Second)
		k.header = "Skylarklead-Model: " + model + "\r\nSkylarklead-Token-Count: 628,110\r\nSkylarklead-Prompt-Prefix: 5c1e07a2:119,91bd3f06:79,e4402b7d:430\r\n"
		t.do(c, stopped.name, k)
	})
	time.Sleep(500 * time.Millisecond)
	close(stopFirst)
	termAt := time.Now()
	if trouble {
		s.terminate(stopped)
	}
	var mu sync.Mutex
	var breaks []string
	for i, c := range kept {
		clients.Go(func() {
			time.Sleep(time.Until(termAt.Add(lateFrom + time.Duration(i)*lateStep)))
			k := newCall(payPath, longWork, payDeadline)
			a := t.do(c, stopped.name, k)
			if line := s.lost(k, &a, termAt); line != "" {
				mu.Lock()
				defer mu.Unlock()
				breaks = append(breaks, line)
			}
		})
	}
	time.Sleep(time.Until(termAt.Add(grace + time.Second)))
	close(stop)
	clients.Wait()
	return breaks, nil
}

// lost describes how a request was lost around the SIGTERM of its entry, "" if it wasn't or if that is
// excused.
func (s *site) lost(k *call, a *answer, termAt time.Time) string {
	if a.err == nil || a.sentAt.Sub(termAt) <= excusedUntil || a.took >= min(k.deadline, payTimeout) {
		return ""
	}
	runs := s.runsOf(k.id)
	if len(runs) == 0 && a.took <= lostAfter {
		return ""
	}
	return fmt.Sprintf("LOST: request %s, sent %d ms after SIGTERM on a kept connection and passed on to %d replica(s), got no complete answer: the connection ended after %d ms (%v)",
		k.id, a.sentAt.Sub(termAt).Milliseconds(), len(runs), a.took.Milliseconds(), a.err)
}
