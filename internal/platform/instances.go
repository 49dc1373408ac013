package platform

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"skylarklead/internal/wait"
)

// Roles and states of instances in the platform's list.
const (
	RoleEntry    = "entry"
	RoleEndpoint = "endpoint"

	StateLive    = "live"
	StateLeaving = "leaving"
)

// listTimeout bounds one fetch of the instance list.
const listTimeout = 5 * time.Second

// Instance is an entry of the platform's list of instances. The list lags behind, so
// that it serves only to discover peers; heartbeats tell whether an instance is alive.
type Instance struct {
	ID            string `json:"id"`
	Role          string `json:"role"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Group is the endpoint's group, empty for an entry.
	Group string `json:"group"`
	State string `json:"state"`
}

// OtherAddresses returns the addresses of all instances except the one with the ID self.
func OtherAddresses(list []Instance, self string) []string {
	var addresses []string
	for _, i := range list {
		if i.ID != self {
			addresses = append(addresses, i.Address)
		}
	}
	return addresses
}

// InstanceList is the JSON body of the list.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}

// Instances is a client of the platform's instance list. It is safe for
// concurrent use.
type Instances struct {
	// OnSkipped is called with what is wrong with instances that lists leave out, when that changes; nil for nothing to call.
	// Set it before the first use.
	OnSkipped func(error)

	base   string
	client *http.Client

	mu     sync.Mutex
	cached cachedList
	// skipped is what OnSkipped was last called with, "" for nothing.
	skipped string
}

// cachedList is the last list received with its ETag, which is empty if the platform
// sent none.
type cachedList struct {
	etag string
	list []Instance
}

// NewInstances returns a client of the list at the base URL, "http://ip:port".
func NewInstances(base string) *Instances {
	return &Instances{base: strings.TrimSuffix(base, "/"), client: newReadClient()}
}

// Close closes idle connections.
func (i *Instances) Close() { i.client.CloseIdleConnections() }

// List returns the platform's current list without the instances that can't be decoded. Its errors match ErrUnavailable.
//
// Every process reads the list every few seconds, and at a thousand instances the list
// is larger than all other control traffic together. If the platform sends ETags, an
// unchanged list is therefore not transferred again.
func (i *Instances) List(ctx context.Context) ([]Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	cached := i.cachedCopy()
	resp, err := i.fetch(ctx, cached.etag)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusNotModified && cached.etag != "":
		return slices.Clone(cached.list), nil
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("%w: instance list: status %s", ErrUnavailable, resp.Status)
	}
	list, err := i.decode(resp)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	i.setCached(cachedList{etag: resp.Header.Get("ETag"), list: list})
	return slices.Clone(list), nil
}

func (i *Instances) decode(resp *http.Response) ([]Instance, error) {
	data, err := readBody(resp)
	if err != nil {
		return nil, err
	}
	list, skipped, err := decodeList(data)
	if err != nil {
		return nil, err
	}
	i.reportSkipped(skipped)
	return list, nil
}

// reportSkipped calls OnSkipped unless it was last called with the same.
func (i *Instances) reportSkipped(skipped error) {
	text := ""
	if skipped != nil {
		text = skipped.Error()
	}
	i.mu.Lock()
	changed := text != i.skipped
	i.skipped = text
	i.mu.Unlock()
	if changed && skipped != nil && i.OnSkipped != nil {
		i.OnSkipped(skipped)
	}
}

func (i *Instances) fetch(ctx context.Context, etag string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, i.base+"/v1/instances", nil)
	if err != nil {
		return nil, err
	}
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	return i.client.Do(req)
}

func (i *Instances) cachedCopy() cachedList {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.cached
}

func (i *Instances) setCached(l cachedList) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cached = l
}

// Poll calls onList with the list or the error, at once and then about once per
// interval until ctx ends. The interval is jittered by a tenth, so that processes that
// started together don't keep polling at the same moments.
func (i *Instances) Poll(ctx context.Context, interval time.Duration, onList func([]Instance, error)) {
	for {
		list, err := i.List(ctx)
		if ctx.Err() != nil {
			return
		}
		onList(list, err)
		pause := interval - interval/10 + rand.N(interval/5+1)
		if wait.For(ctx, pause) != nil {
			return
		}
	}
}
