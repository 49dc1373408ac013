package load

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"skylarklead/internal/wait"
)

// readinessTimeout bounds one readiness check of an entry.
const readinessTimeout = time.Second

// balancer selects entries in round-robin order and skips those that aren't
// ready, as the platform's load balancer does.
type balancer struct {
	mu      sync.Mutex
	entries []string
	unready map[string]bool
	last    int
}

func newBalancer(entries []string) *balancer {
	b := &balancer{unready: map[string]bool{}}
	for _, e := range entries {
		b.entries = append(b.entries, strings.TrimSuffix(e, "/"))
	}
	return b
}

// next returns the next ready entry. If none is ready, it ignores readiness.
func (b *balancer) next() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.entries {
		b.last = (b.last + 1) % len(b.entries)
		if e := b.entries[b.last]; !b.unready[e] {
			return e
		}
	}
	b.last = (b.last + 1) % len(b.entries)
	return b.entries[b.last]
}

// pollReadiness checks the readiness of each entry periodically until ctx ends.
func (b *balancer) pollReadiness(ctx context.Context, interval time.Duration) {
	var wg sync.WaitGroup
	client := &http.Client{Timeout: readinessTimeout}
	defer client.CloseIdleConnections()
	for _, e := range b.entries {
		wg.Go(func() {
			for wait.For(ctx, interval) == nil {
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
