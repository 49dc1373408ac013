package entry

import "sync"

// inFlight counts this entry's own attempts at each endpoint.
type inFlight struct {
	mu    sync.Mutex
	count map[string]int
}

func newInFlight() *inFlight { return &inFlight{count: map[string]int{}} }

func (f *inFlight) begin(endpoint string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count[endpoint]++
}

func (f *inFlight) finish(endpoint string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count[endpoint]--
	if f.count[endpoint] == 0 {
		delete(f.count, endpoint)
	}
}

func (f *inFlight) at(endpoint string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count[endpoint]
}
