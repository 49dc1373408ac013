package direct

import (
	"context"
	"encoding/binary"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"skylarklead/internal/attempt"
	"skylarklead/internal/rollout"
)

// minStoredCrashes is the crash count from which on a request's crashes are also written to the
// entries' topic, so that entries that start later know them. Every crash gives a count of one to all
// requests that were running at the replica; peers receive these by datagram only.
const minStoredCrashes = 2

// computeFingerprint identifies repetitions of the request: it hashes the organisation, method, host,
// target and body.
func (req *request) computeFingerprint() uint64 {
	d := xxhash.New()
	organisation := ""
	if req.organisation != nil {
		organisation = req.organisation.Name
	}
	var size [8]byte
	for _, field := range []string{organisation, req.httpRequest.Method, req.httpRequest.Host, req.httpRequest.RequestURI} {
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		_, _ = d.Write(size[:]) // a digest takes all
		_, _ = d.WriteString(field)
	}
	_, _ = d.Write(req.body)
	return d.Sum64()
}

// answerIfPoison answers a poison request, which crashed too many replicas. It reports whether it did.
func (req *request) answerIfPoison() bool {
	s := req.entry.state
	s.mu.Lock()
	now := req.entry.clock.now()
	wait, rejected := s.crashes.GivenUp(req.fingerprint, now)
	s.mu.Unlock()
	if !rejected {
		return false
	}
	req.entry.tel.Metrics.Count("requests_given_up", 1)
	const reason = "request rejected: it crashed the replicas that ran it"
	switch {
	case req.firstByte > 0:
		req.abort(reason)
	case req.plan.MayHaveRun():
		req.fail(http.StatusBadGateway, reason, wait)
	default:
		req.refuse(reason, wait)
	}
	return true
}

// recordBrokenRun records that the request's run broke off at a replica. It starts one probe of the
// replica for all runs that broke off there together: if the replica has crashed, no more requests
// may be sent to it, and the crash counts against the request.
func (req *request) recordBrokenRun(p *placement) {
	s := req.entry.state
	s.mu.Lock()
	now := req.entry.clock.now()
	crashes := s.crashes.RecordBrokenRun(req.fingerprint, p.replica.ID, p.pickedAt, now)
	probe := s.replicas.CheckSilent(p.replica.ID, now)
	s.mu.Unlock()
	req.entry.publishCrashes(crashes)
	if probe {
		go req.entry.monitor.probe(context.WithoutCancel(req.ctx), p.replica)
	}
}

// recordReplicaLoss counts crashes against the requests that ran at a replica that is gone or
// unreachable.
func (e *Entry) recordReplicaLoss(id string) {
	e.state.mu.Lock()
	crashes := e.state.crashes.RecordLostReplica(id, e.clock.now())
	e.state.mu.Unlock()
	e.publishCrashes(crashes)
}

// publishCrashes sends crashes counted here to the other entries.
func (e *Entry) publishCrashes(crashes []attempt.CrashReport) {
	if len(crashes) == 0 {
		return
	}
	var records [][]byte
	for i := range crashes {
		count := e.logCrash(&crashes[i], e.settings.ID)
		if count >= minStoredCrashes {
			envelope := rollout.Envelope{Crash: &crashes[i]}
			records = append(records, envelope.Encode())
		}
	}
	e.peers.sendCrashes(crashes)
	if len(records) > 0 {
		go e.storeCrashes(records)
	}
}

func (e *Entry) storeCrashes(records [][]byte) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if _, err := e.platform.Store.Append(ctx, topicEntries, nil, records); err != nil {
		e.tel.Log.Warn("crash counts not written to the store", "strikes", len(records), "error", err)
	}
}

// receiveCrashes counts crashes that a peer sent in a message.
func (e *Entry) receiveCrashes(crashes []attempt.CrashReport, from string) {
	for i := range crashes {
		if crashes[i].Valid() {
			e.receiveCrash(&crashes[i], from)
		}
	}
}

// receiveCrash counts a crash that another entry has seen.
func (e *Entry) receiveCrash(crash *attempt.CrashReport, from string) {
	e.state.mu.Lock()
	e.state.crashes.Merge(*crash, e.clock.now())
	e.state.mu.Unlock()
	e.logCrash(crash, from)
}

// logCrash logs a crash and returns the request's crash count.
func (e *Entry) logCrash(crash *attempt.CrashReport, from string) int {
	now := e.clock.now()
	e.state.mu.Lock()
	count := e.state.crashes.CrashCount(crash.Fingerprint, now)
	_, rejected := e.state.crashes.GivenUp(crash.Fingerprint, now)
	e.state.mu.Unlock()
	e.tel.Metrics.Count("requests_struck", 1)
	e.tel.Log.Info("crash counted against a request", "fingerprint", crash.Fingerprint, "replica", crash.Replica,
		"strikes", count, "given_up", rejected, "from", from)
	return count
}
