package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"syscall"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/config"
	"skylarklead/internal/platform"
	"skylarklead/internal/standin/load"
	"skylarklead/internal/wait"
)

// ClaimPoint measures the cost of idempotency keys at one rate of calls.
type ClaimPoint struct {
	Replicas int     `json:"replicas"`
	Rate     float64 `json:"rate"`
	Seconds  float64 `json:"seconds"`
	// Answered is the number of calls answered. Claims and Settles are the numbers
	// of claims and settlements on the log. They are in Records records, each
	// appended separately, of Bytes bytes in all.
	Answered int                  `json:"answered"`
	Outcomes map[load.Outcome]int `json:"outcomes"`
	Records  int                  `json:"records"`
	Claims   int                  `json:"claims"`
	Settles  int                  `json:"settles"`
	Bytes    int                  `json:"bytes"`
	// Calls has the latency of whole responses, measured by the callers.
	Calls load.LatencySummary `json:"calls"`
	// Endpoint is the usage of the replicas; its Platform includes their reads of
	// the log. Entry is the usage of the entries.
	Endpoint RoleUsage `json:"endpoint"`
	Entry    RoleUsage `json:"entry"`
}

// claimReplicas is the size of the group in which claims are measured.
const claimReplicas = 16

// ClaimSlopes measures calls with idempotency keys to one group, at rates of 1, 5,
// 12 and 25 percent of the target's requests.
func ClaimSlopes(ctx context.Context, progress io.Writer, o SlopeOptions) ([]ClaimPoint, error) {
	var points []ClaimPoint
	for _, rate := range []float64{13, 65, 156, 325} {
		var p ClaimPoint
		err := o.withLock(ctx, func() (err error) { p, err = claimPoint(ctx, claimReplicas, rate, o); return err })
		if err != nil {
			return points, err
		}
		points = append(points, p)
		fmt.Fprintf(progress, "%d replicas, %.0f/s: %d answered, %d records, %d claims, %d settles, %d bytes, p50 %.0f ms, p99 %.0f ms, cpu %.4f, platform %.0f B/s, %v\n",
			p.Replicas, p.Rate, p.Answered, p.Records, p.Claims, p.Settles, p.Bytes, p.Calls.P50, p.Calls.P99,
			p.Endpoint.CPU.Median, p.Endpoint.Platform.Median, p.Outcomes)
	}
	return points, nil
}

func claimWorkload() load.Workload {
	return load.Workload{
		Name: "claims", Rate: 1,
		Records: []config.Record{
			{Schema: 2, Kind: config.KindGroup, Key: slopeServices, Body: json.RawMessage(`{"load_permits":1}`)},
			{Schema: 2, Kind: config.KindService, Key: slopeServices,
				Body: json.RawMessage(`{"group":"slopes-calls","key_required":["/payments"]}`)},
		},
		Organisations: []load.Organisation{{
			ID: "organisation-slopes", Class: load.ClassLarge, APIKey: slopeKey, Share: 1, Weight: 1,
			Requests: []load.RequestKind{{Name: "payment", Share: 1, Call: &load.Call{
				Service: slopeServices, Path: "payments", Idempotent: true, Tokens: 60,
			}}},
		}},
	}
}

func claimPoint(ctx context.Context, replicas int, rate float64, o SlopeOptions) (p ClaimPoint, err error) {
	dir, remove, err := tempDir(o.Keep)
	if err != nil {
		return p, err
	}
	defer remove()
	s := slopeFleet{members: 0, entries: 2}
	d := s.deployment()
	d.Services = replicas
	f, err := StartFleet(ctx, d, claimWorkload(), s.fleetOptions(dir, o))
	if err != nil {
		return p, err
	}
	defer f.Close()
	before, err := f.daemonUsage()
	if err != nil {
		return p, err
	}
	report, err := load.Run(ctx, claimWorkload(), load.Options{Entries: f.EntryURLs(), Duration: o.Window, Seed: 1, Rate: rate})
	if err != nil {
		return p, err
	}
	if err := wait.For(ctx, time.Second); err != nil { // until the last settlements are appended
		return p, err
	}
	after, err := f.daemonUsage()
	if err != nil {
		return p, err
	}
	p = ClaimPoint{Replicas: replicas, Rate: rate, Seconds: o.Window.Seconds(),
		Outcomes: report.All.Outcomes, Calls: report.All.Calls, Answered: int(report.All.Calls.Count)}
	p.Endpoint, p.Entry = newRoleUsage(f.Services, before, after), newRoleUsage(f.Entries, before, after)
	return p, f.readClaims(ctx, &p)
}

func (f *Fleet) readClaims(ctx context.Context, p *ClaimPoint) error {
	log := platform.NewLog(f.platformURL)
	defer log.Close()
	for from := uint64(1); ; {
		page, err := log.Read(ctx, "claims."+slopeServices, from, platform.MaxPageRecords, 0)
		if err != nil {
			return err
		}
		if len(page.Records) == 0 {
			return nil
		}
		for _, r := range page.Records {
			batch, err := attempt.DecodeClaims(r.Data)
			if err != nil {
				return err
			}
			p.Records++
			p.Bytes += len(r.Data)
			p.Claims += len(batch.Claims)
			p.Settles += len(batch.Settlements)
		}
		from = page.Next
	}
}

// tempDir creates a folder for settings and logs. remove removes it unless keep is
// set.
func tempDir(keep bool) (dir string, remove func(), err error) {
	dir, err = os.MkdirTemp("", "skylark-slopes-")
	if err != nil {
		return "", nil, fmt.Errorf("measure: %w", err)
	}
	if keep {
		return dir, func() {}, nil
	}
	return dir, func() { os.RemoveAll(dir) }, nil
}

// processCPUSeconds returns the CPU time that this process has used.
func processCPUSeconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return (time.Duration(usage.Utime.Nano()) + time.Duration(usage.Stime.Nano())).Seconds()
}
