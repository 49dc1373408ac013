package load

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"skylarklead/internal/wait"
)

// healthTimeout bounds one question for an entry's readiness.
const healthTimeout = time.Second

// balancer takes entries in turn, as the platform's balancer does, and leaves
// out those that say they aren't ready.
type balancer struct {
	mu      sync.Mutex
	entries []string
	unready map[string]bool
	turn    int
}

func newBalancer(entries []string) *balancer {
	b := &balancer{unready: map[string]bool{}}
	for _, e := range entries {
		b.entries = append(b.entries, strings.TrimSuffix(e, "/"))
	}
	return b
}

// next returns whose turn it is; with none ready, readiness doesn't count.
func (b *balancer) next() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.entries {
		b.turn = (b.turn + 1) % len(b.entries)
		if e := b.entries[b.turn]; !b.unready[e] {
			return e
		}
	}
	b.turn = (b.turn + 1) % len(b.entries)
	return b.entries[b.turn]
}

// watch asks each entry for its readiness until ctx ends.
func (b *balancer) watch(ctx context.Context, every time.Duration) {
	var wg sync.WaitGroup
	client := &http.Client{Timeout: healthTimeout}
	defer client.CloseIdleConnections()
	for _, e := range b.entries {
		wg.Go(func() {
			for wait.For(ctx, every) == nil {
				ready := isReady(ctx, client, e)
				b.mu.Lock()
				b.unready[e] = !ready
				b.mu.Unlock()
			}
		})
	}
	wg.Wait()
}

func isReady(ctx context.Context, client *http.Client, entry string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, entry+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
