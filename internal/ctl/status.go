package ctl

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"skylarklead/internal/platform"
	"skylarklead/internal/protocol"
	"skylarklead/internal/wait"
)

// callTimeout bounds one call to one process, including the dial.
const callTimeout = 3 * time.Second

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show every instance: role, epoch, configuration in force, load, age of the cache view",
		Description: "  skylarkctl status\n  skylarkctl status --address 127.0.0.1:7101 -o json",
		Flags:       fleetFlags(),
		Action:      withArgs(0, 0, status),
	}
}

// instanceStatus is the output of status for one instance.
type instanceStatus struct {
	ID      string           `json:"id"`
	Address string           `json:"address"`
	Listed  string           `json:"listed,omitempty"`
	Status  *protocol.Status `json:"status,omitempty"`
	Error   string           `json:"error,omitempty"`
}

func status(ctx context.Context, c *cli.Command) error {
	f, err := openFleet(ctx, c)
	if err != nil {
		return err
	}
	defer f.close()
	all := f.statuses(ctx)
	if err := show(c, all, func(w io.Writer) { statusTable(w, all) }); err != nil {
		return err
	}
	return checkAnyAnswered(all)
}

func (f *fleetClient) statuses(ctx context.Context) []instanceStatus {
	all := make([]instanceStatus, len(f.peers))
	for i, r := range f.callAll(ctx, &protocol.StatusRequest{}) {
		all[i] = instanceStatus{ID: r.from.ID, Address: r.from.Address, Listed: r.from.State}
		s, ok := r.message.(*protocol.Status)
		switch {
		case r.err != nil:
			all[i].Error = r.err.Error()
		case !ok:
			all[i].Error = fmt.Sprintf("unexpected reply %T", r.message)
		default:
			all[i].ID, all[i].Status = s.Identity.ID, s
		}
	}
	return all
}

func checkAnyAnswered(all []instanceStatus) error {
	for _, s := range all {
		if s.Status != nil {
			return nil
		}
	}
	if len(all) == 0 {
		return fmt.Errorf("%w: the instance list is empty", errUnreachable)
	}
	return fmt.Errorf("%w: none of %d instances answered", errUnreachable, len(all))
}

var statusColumns = []any{
	"ID", "ROLE", "DOMAIN", "GROUP", "EPOCH", "CONFIG", "SOURCE", "LOG", "LEAVING",
	"IN FLIGHT", "RUNNING", "QUEUED", "CACHE", "PICTURE", "UP",
}

// statusTable writes a row for each instance. The reasons why instances didn't
// answer or aren't ready follow below the table, where they don't widen a column.
func statusTable(w io.Writer, all []instanceStatus) {
	row(w, statusColumns...)
	for _, s := range all {
		if s.Status == nil {
			row(w, append([]any{s.ID}, slices.Repeat([]any{"-"}, len(statusColumns)-1)...)...)
			continue
		}
		row(w, statusCells(s.Status)...)
	}
	for _, s := range all {
		switch {
		case s.Status == nil:
			fmt.Fprintf(w, "%s: no answer: %s\n", s.ID, s.Error)
		case s.Status.NotReady != "":
			fmt.Fprintf(w, "%s: not ready: %s\n", s.ID, s.Status.NotReady)
		}
	}
}

func statusCells(s *protocol.Status) []any {
	id, load := s.Identity, s.Load
	running, queued, cache, cacheViewAge := "-", "-", "-", "-"
	if id.Role == protocol.RoleEndpoint {
		running, queued = fmt.Sprint(load.Running), fmt.Sprint(load.Queued)
		cache = fmt.Sprintf("%d/%d", load.CacheUsed, load.CacheTotal)
		cacheViewAge = (time.Duration(load.CacheViewAgeMs) * time.Millisecond).String()
		if load.CacheViewStale {
			cacheViewAge += " doubtful"
		}
	}
	configuration := fmt.Sprint(s.ConfigOffset)
	if s.UnknownSchema > 0 {
		configuration += fmt.Sprintf(" (%d kept)", s.UnknownSchema)
	}
	up := (time.Duration(s.UptimeMs) * time.Millisecond).Round(time.Second)
	return []any{
		id.ID, id.Role, id.FailureDomain, id.Group, fmt.Sprintf("%08x", uint64(id.Epoch)>>32), configuration, s.ConfigSource,
		yesNo(s.LogReachable), yesNo(s.Leaving), s.InFlight, running, queued, cache, cacheViewAge, up,
	}
}

func compareInstances(a, b platform.Instance) int {
	return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.ID, b.ID))
}

// waitInForce waits until the offset is in force at every listed instance that
// isn't leaving.
func waitInForce(ctx context.Context, c *cli.Command, offset uint64) error {
	for {
		behind, err := instancesBehind(ctx, c, offset)
		if err != nil {
			return err
		}
		if len(behind) == 0 {
			fmt.Fprintf(c.Root().ErrWriter, "offset %d is in force at every live instance\n", offset)
			return nil
		}
		if wait.For(ctx, pollInterval) != nil {
			return fmt.Errorf("%w: published, but not confirmed: offset %d isn't known to be in force at %v", errUnreachable, offset, behind)
		}
	}
}

// instancesBehind returns the IDs of the live instances that are below the offset
// or didn't answer.
func instancesBehind(ctx context.Context, c *cli.Command, offset uint64) ([]string, error) {
	f, err := openFleet(ctx, c)
	if err != nil {
		return nil, err
	}
	defer f.close()
	behind := []string{}
	for _, s := range f.statuses(ctx) {
		if s.Listed == platform.StateLeaving {
			continue
		}
		if s.Status == nil || s.Status.ConfigOffset < offset {
			behind = append(behind, s.ID)
		}
	}
	return behind, nil
}
