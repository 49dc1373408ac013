package main

import (
	"fmt"
	"hash/fnv"
	"sync"
	"time"
)

const (
	// attemptsLength is how long the case lasts.
	attemptsLength = 90 * time.Second
	// errorPercent of the lookups are answered with a 500 by a sound replica: the site's error_share is 0.14.
	errorPercent = 14
	// lookAttempts is the attempts of the lookups' route; more than beyondAllowed requests must run on more.
	lookAttempts  = 2
	beyondAllowed = 3
)

// refusalBytes follow a complete answer and belong to no request.
var refusalBytes = []byte("HTTP/1.1 503 Service Unavailable\r\nSkylarklead-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")

func setUpAttempts(s *site) error {
	n := 0
	err := s.addPortals(3, func(r *replica) {
		n++
		r.fails = func(id string) bool {
			h := fnv.New32a()
			_, _ = h.Write([]byte(id + r.id))
			return h.Sum32()%100 < errorPercent
		}
		if n <= faultyReplicas {
			r.lateAnswer = s.everyFortieth(refusalBytes)
		}
	})
	if err != nil {
		return err
	}
	return s.addEntries(3)
}

// everyFortieth returns what sends bytes after every lateEvery-th answer while the site is troubled.
func (s *site) everyFortieth(bytes []byte) func(string, int, []byte) []byte {
	var mu sync.Mutex
	answers := 0
	return func(string, int, []byte) []byte {
		mu.Lock()
		defer mu.Unlock()
		if answers++; answers%lateEvery != 0 || !s.troubled.Load() {
			return nil
		}
		return bytes
	}
}

// playAttempts sends lookups while one replica sends further bytes after some of its answers.
func playAttempts(s *site, trouble bool) ([]string, error) {
	s.troubled.Store(trouble)
	t := &traffic{log: s.log}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	var calls []*call
	for _, e := range s.entries {
		for range 6 {
			clients.Go(func() {
				t.repeat(e, stop, 100*time.Millisecond, func() *call { return newCall(lookPath, "work_ms=60", payDeadline) }, func(k *call, _ answer) {
					mu.Lock()
					defer mu.Unlock()
					calls = append(calls, k)
				})
			})
		}
	}
	time.Sleep(attemptsLength)
	close(stop)
	clients.Wait()
	var beyond []string
	for _, k := range calls {
		on := map[string]bool{}
		for _, r := range s.runsOf(k.id) {
			on[r.replica] = true
		}
		if len(on) > lookAttempts {
			beyond = append(beyond, k.id)
		}
	}
	summary := fmt.Sprintf("%d lookups, %d of them ran on more than %d replicas", len(calls), len(beyond), lookAttempts)
	s.log.add("counted    %s: %v", summary, beyond)
	fmt.Println(summary)
	if len(beyond) <= beyondAllowed {
		return nil, nil
	}
	return []string{"BUDGET: " + summary}, nil
}
