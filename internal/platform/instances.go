package platform

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// Roles and states of instances, as the platform's list gives them.
const (
	RoleEntry    = "entry"
	RoleEndpoint = "endpoint"

	StateLive    = "live"
	StateLeaving = "leaving"
)

// listTimeout bounds one fetch of the instance list.
const listTimeout = 5 * time.Second

// Instance is one line of the platform's list of instances. The list lags: it
// proposes peers, and heartbeats decide.
type Instance struct {
	ID            string `json:"id"`
	Role          string `json:"role"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Group is the endpoint's group, empty for an entry.
	Group string `json:"group"`
	State string `json:"state"`
}

// InstanceList is the list's shape on the wire.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}

// Instances is a client of the platform's instance list. It is safe for
// concurrent use.
type Instances struct {
	base   string
	client *http.Client
}

// NewInstances returns a client of the list at base, "http://ip:port".
func NewInstances(base string) *Instances {
	return &Instances{base: strings.TrimSuffix(base, "/"), client: newReadClient()}
}

// Close closes idle connections.
func (i *Instances) Close() { i.client.CloseIdleConnections() }

// List returns the list as the platform shows it now. Its errors match
// ErrUnavailable.
func (i *Instances) List(ctx context.Context) ([]Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var list InstanceList
	if err := get(ctx, i.client, i.base+"/v1/instances", &list); err != nil {
		return nil, err
	}
	return list.Instances, nil
}

// Poll calls f with the list, or the error in its place, at once and then about
// every so often until ctx ends. The period is jittered by a tenth, so that
// processes that started together don't poll together for ever.
func (i *Instances) Poll(ctx context.Context, every time.Duration, f func([]Instance, error)) {
	for {
		list, err := i.List(ctx)
		if ctx.Err() != nil {
			return
		}
		f(list, err)
		pause := every - every/10 + rand.N(every/5+1)
		if sleep(ctx, pause) != nil {
			return
		}
	}
}
