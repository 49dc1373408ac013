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

// SessionPoint measures the cost of a number of sessions for one daemon.
type SessionPoint struct {
	Sessions int `json:"sessions"`
	// Awaited sessions are held as if they carried a stream, which makes the dialer
	// send pings more often.
	Awaited bool `json:"awaited"`
	// OpenBytes and OpenCPU are the bytes on the wire and the daemon's CPU time to
	// open one session. Closing it isn't included.
	OpenBytes float64 `json:"open_wire_bytes"`
	OpenCPU   float64 `json:"open_cpu_seconds"`
	// Idle is the bytes per second on the wire of one session without messages. CPU
	// is the daemon's total CPU usage as a fraction of a core.
	Idle float64 `json:"idle_wire_bytes_per_second"`
	CPU  float64 `json:"cpu"`
	RSS  float64 `json:"rss"`
}

// SessionSlopes measures several numbers of sessions from this process to one
// endpoint daemon.
func SessionSlopes(ctx context.Context, counts []int, progress io.Writer, o SlopeOptions) ([]SessionPoint, error) {
	var points []SessionPoint
	for _, awaited := range []bool{false, true} {
		for _, n := range counts {
			var p SessionPoint
			err := o.withLock(ctx, func() (err error) { p, err = sessionPoint(ctx, n, awaited, o); return err })
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
	f, err := StartFleet(ctx, s.deployment(), s.workload(), s.fleetOptions(dir, o))
	if err != nil {
		return p, err
	}
	defer f.Close()
	node := f.Engines[0]
	before, err := f.daemonUsage()
	if err != nil {
		return p, err
	}
	sessions, err := dialAll(ctx, node.settings.Listen, n, awaited)
	defer closeAll(sessions)
	if err != nil {
		return p, err
	}
	opened, err := f.daemonUsage()
	if err != nil {
		return p, err
	}
	if err := wait.For(ctx, o.Window); err != nil {
		return p, err
	}
	after, err := f.daemonUsage()
	if err != nil {
		return p, err
	}
	p.fill(before[node.id], opened[node.id], after[node.id])
	return p, nil
}

func (p *SessionPoint) fill(before, opened, after usage) {
	cpu := func(u usage) float64 { return metricValue(u.page, "cpu_seconds") }
	seconds := after.at.Sub(opened.at).Seconds()
	p.CPU, p.RSS = (cpu(after)-cpu(opened))/seconds, after.rss
	if p.Sessions == 0 {
		return
	}
	n := float64(p.Sessions)
	for key := range before.sockets {
		delete(opened.sockets, key)
	}
	p.OpenBytes = wireBytes(zeroBaseline(opened.sockets), opened.sockets, socketPeer) / n
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
			Handler: ignoreMessages{},
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
