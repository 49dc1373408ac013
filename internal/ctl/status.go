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

// askTimeout bounds one question to one process.
const askTimeout = 3 * time.Second

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show every instance: role, epoch, configuration in force, load, cache picture",
		Description: "  skylarkctl status\n  skylarkctl status --address 127.0.0.1:7101 -o json",
		Flags:       fleetFlags(),
		Action:      withArgs(0, 0, status),
	}
}

// instanceStatus is what status shows of one instance.
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
	return noneAnswered(all)
}

func (f *fleet) statuses(ctx context.Context) []instanceStatus {
	all := make([]instanceStatus, len(f.peers))
	for i, r := range f.askAll(ctx, &protocol.StatusRequest{}) {
		all[i] = instanceStatus{ID: r.from.ID, Address: r.from.Address, Listed: r.from.State}
		s, ok := r.message.(*protocol.Status)
		switch {
		case r.err != nil:
			all[i].Error = r.err.Error()
		case !ok:
			all[i].Error = fmt.Sprintf("answered with %T", r.message)
		default:
			all[i].ID, all[i].Status = s.Identity.ID, s
		}
	}
	return all
}

func noneAnswered(all []instanceStatus) error {
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

var statusHeads = []any{
	"ID", "ROLE", "DOMAIN", "GROUP", "EPOCH", "CONFIG", "SOURCE", "LOG", "LEAVING",
	"IN FLIGHT", "RUNNING", "QUEUED", "CACHE", "PICTURE", "UP",
}

// statusTable has a row for each instance, and what is wrong with those that
// didn't answer or aren't ready below it, where they don't widen a column.
func statusTable(w io.Writer, all []instanceStatus) {
	row(w, statusHeads...)
	for _, s := range all {
		if s.Status == nil {
			row(w, append([]any{s.ID}, slices.Repeat([]any{"-"}, len(statusHeads)-1)...)...)
			continue
		}
		row(w, cells(s.Status)...)
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

func cells(s *protocol.Status) []any {
	id, load := s.Identity, s.Load
	running, queued, cache, picture := "-", "-", "-", "-"
	if id.Role == protocol.RoleEndpoint {
		running, queued = fmt.Sprint(load.Running), fmt.Sprint(load.Queued)
		cache = fmt.Sprintf("%d/%d", load.CacheUsed, load.CacheTotal)
		picture = (time.Duration(load.CacheViewAgeMs) * time.Millisecond).String()
		if load.CacheViewStale {
			picture += " doubtful"
		}
	}
	configuration := fmt.Sprint(s.ConfigOffset)
	if s.UnknownSchema > 0 {
		configuration += fmt.Sprintf(" (%d kept)", s.UnknownSchema)
	}
	up := (time.Duration(s.UptimeMs) * time.Millisecond).Round(time.Second)
	return []any{
		id.ID, id.Role, id.FailureDomain, id.Group, fmt.Sprintf("%08x", uint64(id.Epoch)>>32), configuration, s.ConfigSource,
		yes(s.LogReachable), yes(s.Leaving), s.InFlight, running, queued, cache, picture, up,
	}
}

func compareInstances(a, b platform.Instance) int {
	return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.ID, b.ID))
}

// waitInForce returns when every listed instance that isn't leaving has the
// offset in force.
func waitInForce(ctx context.Context, c *cli.Command, offset uint64) error {
	for {
		behind, err := behindOf(ctx, c, offset)
		if err != nil {
			return err
		}
		if len(behind) == 0 {
			fmt.Fprintf(c.Root().ErrWriter, "offset %d is in force at every live instance\n", offset)
			return nil
		}
		if wait.For(ctx, readBackPause) != nil {
			return fmt.Errorf("%w: published, but offset %d isn't known to be in force at %v", errUnreachable, offset, behind)
		}
	}
}

func behindOf(ctx context.Context, c *cli.Command, offset uint64) ([]string, error) {
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
