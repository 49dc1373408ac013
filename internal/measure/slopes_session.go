package measure

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"

	"skylarklead/internal/protocol"
	"skylarklead/internal/wait"
	"skylarklead/internal/wire"
)

// SessionPoint is what so many sessions to one daemon cost it.
type SessionPoint struct {
	Sessions int `json:"sessions"`
	// Awaited sessions carry a stream, so that the dialer pings faster.
	Awaited bool `json:"awaited"`
	// OpenBytes and OpenCPU are one opening, on the wire and of the daemon's
	// processor; CloseBytes aren't counted.
	OpenBytes float64 `json:"open_wire_bytes"`
	OpenCPU   float64 `json:"open_cpu_seconds"`
	// Idle is the bytes a second on the wire of one session on which nothing is
	// said; CPU the daemon's share of a core for all of them and all else.
	Idle float64 `json:"idle_wire_bytes_per_second"`
	CPU  float64 `json:"cpu"`
	RSS  float64 `json:"rss"`
}

// SessionSlopes measures counts of sessions between this process and one endpoint daemon.
func SessionSlopes(ctx context.Context, counts []int, progress io.Writer, o SlopeOptions) ([]SessionPoint, error) {
	var points []SessionPoint
	for _, awaited := range []bool{false, true} {
		for _, n := range counts {
			var p SessionPoint
			err := o.exclusively(ctx, func() (err error) { p, err = sessionPoint(ctx, n, awaited, o); return err })
			if err != nil {
				return points, err
			}
			points = append(points, p)
			fmt.Fprintf(progress, "%+v\n", p)
		}
	}
	return points, nil
}

func sessionPoint(ctx context.Context, n int, awaited bool, o SlopeOptions) (p SessionPoint, err error) {
	p.Sessions, p.Awaited = n, awaited
	dir, remove, err := tempDir(o.Keep)
	if err != nil {
		return p, err
	}
	defer remove()
	s := slopeFleet{members: 1, entries: 1, answerTokens: 4, stepMs: 5}
	f, err := StartFleet(ctx, s.deployment(), s.workload(), s.fleet(dir, o))
	if err != nil {
		return p, err
	}
	defer f.Close()
	node := f.Engines[0]
	before, err := f.use()
	if err != nil {
		return p, err
	}
	sessions, err := dialAll(ctx, node.settings.Listen, n, awaited)
	defer closeAll(sessions)
	if err != nil {
		return p, err
	}
	opened, err := f.use()
	if err != nil {
		return p, err
	}
	if err := wait.For(ctx, o.Window); err != nil {
		return p, err
	}
	after, err := f.use()
	if err != nil {
		return p, err
	}
	p.fill(before[node.id], opened[node.id], after[node.id])
	return p, nil
}

func (p *SessionPoint) fill(before, opened, after use) {
	cpu := func(u use) float64 { return value(u.page, "cpu_seconds") }
	seconds := after.at.Sub(opened.at).Seconds()
	p.CPU, p.RSS = (cpu(after)-cpu(opened))/seconds, after.rss
	if p.Sessions == 0 {
		return
	}
	n := float64(p.Sessions)
	for key := range before.sockets {
		delete(opened.sockets, key)
	}
	p.OpenBytes = wireBytes(zeroed(opened.sockets), opened.sockets, socketPeer) / n
	p.OpenCPU = (cpu(opened) - cpu(before)) / n
	p.Idle = wireBytes(opened.sockets, after.sockets, socketPeer) / seconds / n
}

func dialAll(ctx context.Context, address string, n int, awaited bool) (sessions []*wire.Session, err error) {
	key, err := hex.DecodeString(fleetKey)
	if err != nil {
		return nil, fmt.Errorf("measure: %w", err)
	}
	for i := range n {
		id := fmt.Sprintf("entry-of-slopes-%d", i)
		s, err := wire.Dial(ctx, address, wire.Options{
			Key: key,
			Self: func() protocol.Identity {
				return protocol.Identity{ID: id, Role: protocol.RoleEntry, Epoch: protocol.Epoch(i + 1)}
			},
			Handler: ignore{},
		})
		if err != nil {
			return sessions, err
		}
		if awaited {
			s.MarkAwaited()
		}
		sessions = append(sessions, s)
	}
	return sessions, nil
}

func closeAll(sessions []*wire.Session) {
	for _, s := range sessions {
		s.Close(wire.ErrClosed)
	}
}
