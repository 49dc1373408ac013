package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// faultyReplicas of the three hand out further bytes after every lateEvery-th of their answers: share
	// and x of the site's largest "garble" are 0.6 and 0.03.
	faultyReplicas = 1
	lateEvery      = 40
	// namelessLength is how long the case lasts.
	namelessLength = 60 * time.Second
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
		r.lateAnswer = s.everyFortieth(namelessBytes)
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

// playNameless sends payments while one replica sends further bytes after some of its answers.
func playNameless(s *site, trouble bool) ([]string, error) {
	s.troubled.Store(trouble)
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
	time.Sleep(namelessLength)
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
