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

// PlatformPoint measures the cost of reads of the platform.
type PlatformPoint struct {
	Instances int `json:"instances"`
	// ListBytes is the size of request and response of a poll that returns the
	// instance list, ListUnchanged that of a poll that finds it unchanged.
	// ListSeconds and ListUnchangedSeconds are this process's CPU time for each.
	ListBytes            float64 `json:"list_bytes"`
	ListSeconds          float64 `json:"list_cpu_seconds"`
	ListUnchanged        float64 `json:"list_unchanged_bytes"`
	ListUnchangedSeconds float64 `json:"list_unchanged_cpu_seconds"`
	// PollBytes is the size of a long poll of a log stream that returns no records.
	PollBytes float64 `json:"idle_poll_bytes"`
	// RecordBytes is the size of a read that returns one record of Record bytes.
	Record      int     `json:"record"`
	RecordBytes float64 `json:"record_poll_bytes"`
	// AppendBytes is the size of an append of such a record.
	AppendBytes float64 `json:"append_bytes"`
	// Followers is the number of concurrent long polls, Spread the time until the
	// last of them returned a new record.
	Followers int     `json:"followers"`
	Spread    float64 `json:"spread_seconds"`
}

const (
	targetDaemons       = 1010
	platformReads       = 20
	platformRecordBytes = 4 << 10
	slopesStream        = "slopes"
	idlePollWait        = 200 * time.Millisecond
	followerTimeout     = 20 * time.Second
)

// PlatformSlopes measures reads by this process of the platform's stand-in, with
// instance lists of several sizes.
func PlatformSlopes(ctx context.Context, progress io.Writer, o SlopeOptions) ([]PlatformPoint, error) {
	dir, remove, err := tempDir(o.Keep)
	if err != nil {
		return nil, err
	}
	defer remove()
	f := &Fleet{
		deployment: Deployment{Domains: []string{"domain-a"}, ConcurrentLoads: 3},
		options:    FleetOptions{Bin: o.Bin, Dir: dir},
		listURLs:   map[string]string{},
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
		err := o.withLock(ctx, func() (err error) { p, err = f.platformPoint(ctx, n); return err })
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
	p.Instances, p.Record, p.Followers = n, platformRecordBytes, n
	relay, err := newCountingRelay(f.platformURL)
	if err != nil {
		return p, err
	}
	defer relay.close()
	if err := p.measureList(ctx, relay); err != nil {
		return p, err
	}
	if err := p.measureLog(ctx, relay); err != nil {
		return p, err
	}
	p.Spread, err = f.measureNotification(ctx, n)
	return p, err
}

func (p *PlatformPoint) measureList(ctx context.Context, r *countingRelay) error {
	before, cpu := r.bytes(), processCPUSeconds()
	for range platformReads {
		if err := p.readList(ctx, platform.NewInstances(r.url()), 1); err != nil {
			return err
		}
	}
	p.ListBytes = (r.bytes() - before) / platformReads
	p.ListSeconds = (processCPUSeconds() - cpu) / platformReads
	before, cpu = r.bytes(), processCPUSeconds()
	if err := p.readList(ctx, platform.NewInstances(r.url()), platformReads+1); err != nil {
		return err
	}
	p.ListUnchanged = (r.bytes() - before - p.ListBytes) / platformReads
	p.ListUnchangedSeconds = (processCPUSeconds() - cpu - p.ListSeconds) / platformReads
	return nil
}

// readList reads the instance list the given number of times with one client.
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

func (p *PlatformPoint) measureLog(ctx context.Context, r *countingRelay) error {
	log := platform.NewLog(r.url())
	defer log.Close()
	before := r.bytes()
	offset, err := log.Append(ctx, slopesStream, [][]byte{make([]byte, platformRecordBytes)})
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

// measureNotification lets n clients wait for one record and returns the seconds
// from its append until the last of them has received it.
func (f *Fleet) measureNotification(ctx context.Context, n int) (float64, error) {
	log := platform.NewLog(f.platformURL)
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
			follower := platform.NewLog(f.platformURL)
			defer follower.Close()
			_, err := follower.Read(ctx, stream, last, 1, 0)
			reading.Done()
			if err == nil {
				_, err = follower.Read(ctx, stream, last+1, 1, followerTimeout)
			}
			errs <- err
		}()
	}
	reading.Wait()
	if err := wait.For(ctx, time.Second); err != nil {
		return 0, err
	}
	start := time.Now()
	if _, err := log.Append(ctx, stream, [][]byte{make([]byte, platformRecordBytes)}); err != nil {
		return 0, err
	}
	for range n {
		if err := <-errs; err != nil {
			return 0, err
		}
	}
	return time.Since(start).Seconds(), nil
}

// countingRelay forwards connections to the platform and counts their bytes.
type countingRelay struct {
	listener net.Listener
	server   string
	total    atomic.Int64
}

func newCountingRelay(base string) (*countingRelay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("measure: %w", err)
	}
	r := &countingRelay{listener: l, server: base[len("http://"):]}
	go r.serve()
	return r, nil
}

func (r *countingRelay) serve() {
	for {
		clientConn, err := r.listener.Accept()
		if err != nil {
			return
		}
		serverConn, err := net.Dial("tcp", r.server)
		if err != nil {
			clientConn.Close()
			continue
		}
		go r.copy(serverConn, clientConn)
		go r.copy(clientConn, serverConn)
	}
}

func (r *countingRelay) copy(to, from net.Conn) {
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

func (r *countingRelay) url() string    { return "http://" + r.listener.Addr().String() }
func (r *countingRelay) bytes() float64 { return float64(r.total.Load()) }
func (r *countingRelay) close()         { r.listener.Close() }
