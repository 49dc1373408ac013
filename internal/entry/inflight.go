package entry

import "sync"

// inFlightCounter counts this entry's own attempts at each endpoint.
type inFlightCounter struct {
	mu         sync.Mutex
	byEndpoint map[string]int
}

func newInFlight() *inFlightCounter { return &inFlightCounter{byEndpoint: map[string]int{}} }

func (f *inFlightCounter) begin(endpoint string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byEndpoint[endpoint]++
}

func (f *inFlightCounter) finish(endpoint string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byEndpoint[endpoint]--
	if f.byEndpoint[endpoint] == 0 {
		delete(f.byEndpoint, endpoint)
	}
}

func (f *inFlightCounter) count(endpoint string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byEndpoint[endpoint]
}
