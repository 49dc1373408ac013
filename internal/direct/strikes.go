package direct

import (
	"context"
	"encoding/binary"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"skylarklead/internal/attempt"
	"skylarklead/internal/rollout"
)

// recordedStrikes is the number from which on a request's strikes are written to the
// entries' topic too, so that an entry that starts knows of them. First ones come
// with every crash, for all that ran there; peers hear of them by datagram.
const recordedStrikes = 2

// fingerprint stands for the request whenever it comes again: its organisation,
// method, target and body.
func (j *request) fingerprint() uint64 {
	d := xxhash.New()
	organisation := ""
	if j.organisation != nil {
		organisation = j.organisation.Name
	}
	var size [8]byte
	for _, part := range []string{organisation, j.r.Method, j.r.Host, j.r.RequestURI} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = d.Write(size[:]) // a digest takes all
		_, _ = d.WriteString(part)
	}
	_, _ = d.Write(j.body)
	return d.Sum64()
}

// givenUp answers a request that has crashed too many replicas. It reports whether
// it did.
func (j *request) givenUp() bool {
	s := j.entry.state
	s.mu.Lock()
	now := j.entry.clock.now()
	wait, given := s.crashes.GivenUp(j.print, now)
	s.mu.Unlock()
	if !given {
		return false
	}
	j.entry.tel.Metrics.Count("requests_given_up", 1)
	const reason = "given up: it crashed the replicas that ran it"
	switch {
	case j.first > 0:
		j.cut(reason)
	case j.forward.MayHaveRun():
		j.fail(http.StatusBadGateway, reason, wait)
	default:
		j.refuse(reason, wait)
	}
	return true
}

// broke says that the request's run broke off at a replica. A connection is tried,
// once for all that broke off there together: if the replica has crashed, nothing else
// should be sent there, and the request has a strike.
func (j *request) broke(p *placement) {
	s := j.entry.state
	s.mu.Lock()
	now := j.entry.clock.now()
	strikes := s.crashes.RecordBrokenRun(j.print, p.replica.ID, p.at, now)
	check := s.replicas.CheckSilent(p.replica.ID, now)
	s.mu.Unlock()
	j.entry.struck(strikes)
	if check {
		go j.entry.watch.probe(context.WithoutCancel(j.ctx), p.replica)
	}
}

// recordReplicaLoss says that a replica is gone, or can't be reached.
func (e *Entry) recordReplicaLoss(id string) {
	e.state.mu.Lock()
	strikes := e.state.crashes.RecordLostReplica(id, e.clock.now())
	e.state.mu.Unlock()
	e.struck(strikes)
}

// struck tells the other entries of strikes.
func (e *Entry) struck(strikes []attempt.CrashReport) {
	if len(strikes) == 0 {
		return
	}
	var records [][]byte
	for i := range strikes {
		count := e.logStrike(&strikes[i], e.settings.ID)
		if count >= recordedStrikes {
			envelope := rollout.Envelope{Crash: &strikes[i]}
			records = append(records, envelope.Encode())
		}
	}
	e.peers.sendCrashes(strikes)
	if len(records) > 0 {
		go e.recordStrikes(records)
	}
}

func (e *Entry) recordStrikes(records [][]byte) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if _, err := e.platform.Store.Append(ctx, topicEntries, nil, records); err != nil {
		e.tel.Log.Warn("strikes not written", "strikes", len(records), "error", err)
	}
}

// receiveCrashes takes strikes that a peer sent directly.
func (e *Entry) receiveCrashes(strikes []attempt.CrashReport, from string) {
	for i := range strikes {
		if strikes[i].Valid() {
			e.heardStrike(&strikes[i], from)
		}
	}
}

// heardStrike takes another entry's strike.
func (e *Entry) heardStrike(strike *attempt.CrashReport, from string) {
	e.state.mu.Lock()
	e.state.crashes.Merge(*strike, e.clock.now())
	e.state.mu.Unlock()
	e.logStrike(strike, from)
}

// logStrike writes a strike's line and returns how many the request has.
func (e *Entry) logStrike(strike *attempt.CrashReport, from string) int {
	now := e.clock.now()
	e.state.mu.Lock()
	count := e.state.crashes.CrashCount(strike.Fingerprint, now)
	_, given := e.state.crashes.GivenUp(strike.Fingerprint, now)
	e.state.mu.Unlock()
	e.tel.Metrics.Count("requests_struck", 1)
	e.tel.Log.Info("request struck", "fingerprint", strike.Fingerprint, "replica", strike.Replica,
		"strikes", count, "given_up", given, "from", from)
	return count
}
