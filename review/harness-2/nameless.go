package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// faultyReplicas of the three hand out further bytes after every lateEvery-th of their answers, for
	// spell at a time with spellPause between: share, x and for_s of the site's "garble" ("extra late")
	// are 0.6, 0.03 and 5.
	faultyReplicas = 1
	lateEvery      = 34
	spell          = 5 * time.Second
	spellPause     = 2 * time.Second
	spells         = 9
	// deniedExtra and deniedShare are the rule's bound: more than 5 + one in 500 of all requests.
	deniedExtra = 5
	deniedShare = 500
)

// namelessBytes follow a complete answer and belong to no request.
var namelessBytes = []byte("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")

func setUpNameless(s *site) error {
	faulty := 0
	err := s.addPortals(3, func(r *replica) {
		if faulty++; faulty > faultyReplicas {
			return
		}
		r.lateAnswer = s.everyNth(namelessBytes)
	})
	if err != nil {
		return err
	}
	return s.addEntries(3)
}

// everyNth returns what sends bytes after every lateEvery-th answer while the site is troubled.
func (s *site) everyNth(bytes []byte) func(string, int, []byte) []byte {
	var mu sync.Mutex
	answers := 0
	return func(string, int, []byte) []byte {
		mu.Lock()
		defer mu.Unlock()
		if !s.troubled.Load() {
			return nil
		}
		if answers++; answers%lateEvery != 0 {
			return nil
		}
		return bytes
	}
}

// playNameless sends payments while one replica sends further bytes after some of its answers.
func playNameless(s *site, trouble bool) ([]string, error) {
	time.Sleep(stableTime + time.Second) // until the machines are in touch
	t := &traffic{log: s.log}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	denied, ran := 0, 0
	for _, e := range s.entries {
		for range 4 {
			clients.Go(func() {
				t.repeat(e, stop, 100*time.Millisecond, func() *call { return newCall(payPath, "work_ms=60", payDeadline) }, func(k *call, a answer) {
					if a.err != nil || a.status/100 != 3 && a.status/100 != 4 || a.header.Get("Skylarklead-Response-Seal") != "" {
						return
					}
					if a.status == 408 || a.status == 421 || a.status == 429 {
						return
					}
					mu.Lock()
					defer mu.Unlock()
					denied++
					if len(s.runsOf(k.id)) > 0 {
						ran++
					}
				})
			})
		}
	}
	for range spells {
		time.Sleep(spellPause)
		s.troubled.Store(trouble)
		time.Sleep(spell)
		s.troubled.Store(false)
	}
	close(stop)
	clients.Wait()
	all := t.count()
	s.log.add("counted    %d requests, %d denied, %d of these were run", all, denied, ran)
	fmt.Printf("%d requests, %d denied, %d of these were run\n", all, denied, ran)
	if denied*deniedShare <= deniedExtra*deniedShare+all {
		return nil, nil
	}
	return []string{fmt.Sprintf("DENIED: %d of %d proper requests were ended with a 3xx or 4xx without a replica's seal; %d of these were run", denied, all, ran)}, nil
}
