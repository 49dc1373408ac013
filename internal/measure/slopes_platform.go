package measure

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"skylarklead/internal/platform"
	"skylarklead/internal/settings"
	"skylarklead/internal/wait"
)

// PlatformPoint is what reads of the platform cost a daemon and the platform.
type PlatformPoint struct {
	Instances int `json:"instances"`
	// ListBytes is one poll of the instance list, request and answer, that
	// brings the list; ListUnchanged one that finds it unchanged. The seconds are
	// the client's processor time for each.
	ListBytes            float64 `json:"list_bytes"`
	ListSeconds          float64 `json:"list_cpu_seconds"`
	ListUnchanged        float64 `json:"list_unchanged_bytes"`
	ListUnchangedSeconds float64 `json:"list_unchanged_cpu_seconds"`
	// PollBytes is one long poll of a log stream that brings nothing.
	PollBytes float64 `json:"idle_poll_bytes"`
	// RecordBytes is what a reader gets for one record of Record bytes.
	Record      int     `json:"record"`
	RecordBytes float64 `json:"record_poll_bytes"`
	// AppendBytes is one append of such a record, with its connection.
	AppendBytes float64 `json:"append_bytes"`
	// Followers long-poll together; all had a new record after Spread at most.
	Followers int     `json:"followers"`
	Spread    float64 `json:"spread_seconds"`
}

const (
	targetDaemons    = 1010
	platformReads    = 20
	changeRecord     = 4 << 10
	slopesStream     = "slopes"
	idlePollWait     = 200 * time.Millisecond
	followerPatience = 20 * time.Second
)

// PlatformSlopes measures reads of a stand-in platform by this process.
func PlatformSlopes(ctx context.Context, progress io.Writer, o SlopeOptions) ([]PlatformPoint, error) {
	dir, remove, err := tempDir(o.Keep)
	if err != nil {
		return nil, err
	}
	defer remove()
	f := &Fleet{
		deployment: Deployment{Domains: []string{"domain-a"}, LoadsAtOnce: 3},
		options:    FleetOptions{Bin: o.Bin, Dir: dir},
		views:      map[string]string{},
	}
	defer f.Close()
	if err := f.startPlatform(ctx); err != nil {
		return nil, err
	}
	var points []PlatformPoint
	registered := 0
	for _, n := range []int{10, 30, 100, 300, targetDaemons} {
		for ; registered < n; registered++ {
			if err := f.register(slopeInstance(registered), "group-with-a-name"); err != nil {
				return points, err
			}
		}
		var p PlatformPoint
		err := o.exclusively(ctx, func() (err error) { p, err = f.platformPoint(ctx, n); return err })
		if err != nil {
			return points, err
		}
		points = append(points, p)
		fmt.Fprintf(progress, "%+v\n", p)
	}
	return points, nil
}

func slopeInstance(i int) *node {
	id := fmt.Sprintf("group-with-a-name-%04d", i)
	return &node{id: id, settings: &settings.Settings{
		Role: platform.RoleEndpoint, FailureDomain: "huonville-c", Advertise: fmt.Sprintf("10.20.%d.%d:7400", i/250, i%250),
	}}
}

func (f *Fleet) platformPoint(ctx context.Context, n int) (p PlatformPoint, err error) {
	p.Instances, p.Record, p.Followers = n, changeRecord, n
	relay, err := newRelay(f.base)
	if err != nil {
		return p, err
	}
	defer relay.close()
	if err := p.list(ctx, relay); err != nil {
		return p, err
	}
	if err := p.log(ctx, relay); err != nil {
		return p, err
	}
	p.Spread, err = f.followAll(ctx, n)
	return p, err
}

func (p *PlatformPoint) list(ctx context.Context, r *relay) error {
	before, cpu := r.bytes(), processSeconds()
	for range platformReads {
		if err := p.readList(ctx, platform.NewInstances(r.url()), 1); err != nil {
			return err
		}
	}
	p.ListBytes = (r.bytes() - before) / platformReads
	p.ListSeconds = (processSeconds() - cpu) / platformReads
	before, cpu = r.bytes(), processSeconds()
	if err := p.readList(ctx, platform.NewInstances(r.url()), platformReads+1); err != nil {
		return err
	}
	p.ListUnchanged = (r.bytes() - before - p.ListBytes) / platformReads
	p.ListUnchangedSeconds = (processSeconds() - cpu - p.ListSeconds) / platformReads
	return nil
}

// readList reads the list so often with one client.
func (p *PlatformPoint) readList(ctx context.Context, client *platform.Instances, times int) error {
	defer client.Close()
	for range times {
		list, err := client.List(ctx)
		if err != nil {
			return err
		}
		if len(list) != p.Instances {
			return fmt.Errorf("measure: list of %d, want %d", len(list), p.Instances)
		}
	}
	return nil
}

func (p *PlatformPoint) log(ctx context.Context, r *relay) error {
	log := platform.NewLog(r.url())
	defer log.Close()
	before := r.bytes()
	offset, err := log.Append(ctx, slopesStream, [][]byte{make([]byte, changeRecord)})
	if err != nil {
		return err
	}
	p.AppendBytes = r.bytes() - before
	if _, err := log.Read(ctx, slopesStream, offset, 1, 0); err != nil { // opens the connection
		return err
	}
	before = r.bytes()
	if _, err := log.Read(ctx, slopesStream, offset, 1, 0); err != nil {
		return err
	}
	p.RecordBytes = r.bytes() - before
	before = r.bytes()
	if _, err := log.Read(ctx, slopesStream, offset+1, 1, idlePollWait); err != nil {
		return err
	}
	p.PollBytes = r.bytes() - before
	return nil
}

// followAll has n clients wait for one record and returns how long after its
// append the last of them had it.
func (f *Fleet) followAll(ctx context.Context, n int) (float64, error) {
	log := platform.NewLog(f.base)
	defer log.Close()
	const stream = "slopes-follow"
	last, err := log.Append(ctx, stream, [][]byte{{0}})
	if err != nil {
		return 0, err
	}
	errs := make(chan error, n)
	var reading sync.WaitGroup
	reading.Add(n)
	for range n {
		go func() {
			follower := platform.NewLog(f.base)
			defer follower.Close()
			_, err := follower.Read(ctx, stream, last, 1, 0)
			reading.Done()
			if err == nil {
				_, err = follower.Read(ctx, stream, last+1, 1, followerPatience)
			}
			errs <- err
		}()
	}
	reading.Wait()
	if err := wait.For(ctx, time.Second); err != nil {
		return 0, err
	}
	start := time.Now()
	if _, err := log.Append(ctx, stream, [][]byte{make([]byte, changeRecord)}); err != nil {
		return 0, err
	}
	for range n {
		if err := <-errs; err != nil {
			return 0, err
		}
	}
	return time.Since(start).Seconds(), nil
}

// relay counts the bytes of connections to the platform.
type relay struct {
	listener net.Listener
	server   string
	total    atomic.Int64
}

func newRelay(base string) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("measure: %w", err)
	}
	r := &relay{listener: l, server: base[len("http://"):]}
	go r.serve()
	return r, nil
}

func (r *relay) serve() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.server)
		if err != nil {
			near.Close()
			continue
		}
		go r.copy(far, near)
		go r.copy(near, far)
	}
}

func (r *relay) copy(to, from net.Conn) {
	defer to.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		r.total.Add(int64(n))
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (r *relay) url() string    { return "http://" + r.listener.Addr().String() }
func (r *relay) bytes() float64 { return float64(r.total.Load()) }
func (r *relay) close()         { r.listener.Close() }
