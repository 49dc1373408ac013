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

// warnLoadPermits warns of groups in sources that have at least as many load
// permits as replicas: a weight change would load all but lease.MinServing of them
// at once, and those left would get all of the group's requests. base is the
// platform's URL; if it is empty the replicas aren't known and nothing is checked.
func warnLoadPermits(ctx context.Context, w io.Writer, base string, sources []source) {
	permits := groupsIn(sources)
	if base == "" || len(permits) == 0 {
		return
	}
	instances := platform.NewInstances(base)
	defer instances.Close()
	list, err := instances.List(ctx)
	if err != nil {
		fmt.Fprintf(w, "warning: load_permits not checked against the instance list: %v\n", err)
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

// groupsIn returns the groups that sources publish, in their order.
func groupsIn(sources []source) (groups []config.Group) {
	for _, s := range sources {
		if s.record.Kind != config.KindGroup || s.record.Delete {
			continue
		}
		g := config.Group{LoadPermits: config.DefaultLoadPermits}
		if json.Unmarshal(s.record.Body, &g) == nil { // readFiles has validated the body
			g.ID = s.record.Key
			groups = append(groups, g)
		}
	}
	return groups
}
