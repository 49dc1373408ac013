package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"skylarklead/internal/config"
	"skylarklead/internal/lease"
	"skylarklead/internal/platform"
)

// warnPermits warns of groups in sources with as many load permits as replicas: a
// weight change would load all but lease.KeepServing of them at once, and those
// left would get the whole group's requests. base is the platform's; without it
// nobody knows the replicas.
func warnPermits(ctx context.Context, w io.Writer, base string, sources []source) {
	permits := loadPermits(sources)
	if base == "" || len(permits) == 0 {
		return
	}
	instances := platform.NewInstances(base)
	defer instances.Close()
	list, err := instances.List(ctx)
	if err != nil {
		fmt.Fprintf(w, "warning: load_permits not held against the instance list: %v\n", err)
		return
	}
	replicas := map[string]int{}
	for _, i := range list {
		if i.Role == platform.RoleEndpoint && i.State != platform.StateLeaving {
			replicas[i.Group]++
		}
	}
	for _, group := range permits {
		if n := replicas[group.ID]; n > lease.MinServing && group.LoadPermits >= n {
			fmt.Fprintf(w, "warning: group/%s: load_permits is %d and the group has %d replicas; at most %d load at once, and %d would serve alone\n",
				group.ID, group.LoadPermits, n, n-lease.MinServing, lease.MinServing)
		}
	}
}

// loadPermits returns the groups of sources, in their order.
func loadPermits(sources []source) (groups []config.Group) {
	for _, s := range sources {
		if s.record.Kind != config.KindGroup || s.record.Delete {
			continue
		}
		g := config.Group{LoadPermits: config.DefaultLoadPermits}
		if json.Unmarshal(s.record.Body, &g) == nil { // it was checked when it was read
			g.ID = s.record.Key
			groups = append(groups, g)
		}
	}
	return groups
}
