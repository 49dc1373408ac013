package direct

import (
	"context"
	"encoding/binary"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"skylarklead/internal/attempt"
	"skylarklead/internal/peermessage"
	"skylarklead/internal/rendezvous"
	"skylarklead/internal/rollout"
)

const (
	// minStoredCrashes is the number of lost replicas from which on a request's crashes are also written to
	// the entries' topic, so that entries that start later know them. Every crash counts against all
	// requests that were running at the replica; peers receive the first of each by datagram only.
	minStoredCrashes = 2
	// writingProvesSound is for how long a stream's events arrive until its prompt's parts aren't taken
	// for the cause of a crash: what crashes a replica by its prompt does so when the answer begins.
	writingProvesSound = 500 * time.Millisecond
	// maxMessageSound bounds the keys in a message that clears them; soundSenders is about how many
	// entries send each, where all of them know it.
	maxMessageSound = 64
	soundSenders    = 4
	// givenUpRepeat is how long after other entries were last told of a key that is given up they are
	// told again, while requests with it arrive; the entries' topic keeps records for longer. The pause
	// of each entry is longer by up to givenUpSpread.
	givenUpRepeat = 8 * time.Second
	givenUpSpread = 4 * time.Second
	// maxAnnounced bounds the keys for which that time is kept.
	maxAnnounced = 1024
)

// Reasons of answers to requests that are given up.
const (
	reasonRequestGivenUp = "request rejected: it crashed the replicas that ran it"
	reasonPartGivenUp    = "request rejected: a part of its prompt crashed the replicas that ran it"
)

// crashNews is what the other entries are to be told about keys. The state's lock guards it.
type crashNews struct {
	// sound are keys against which crashes were counted though good answers with them were given.
	sound map[uint64]bool
	// announced has when the entries were last told that a key is given up.
	announced *lru.Cache[uint64, time.Duration]
	// stored are the keys whose losses were stored here, soundStoredAt is when good answers with them last were.
	stored        *attempt.StoredLosses
	soundStoredAt time.Duration
}

func newCrashNews() *crashNews {
	announced, err := lru.New[uint64, time.Duration](maxAnnounced)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &crashNews{sound: make(map[uint64]bool), announced: announced, stored: attempt.NewStoredLosses(maxStoredLosses)}
}

// hashFields hashes fields so that no two lists of them have the same bytes.
func hashFields(fields ...string) *xxhash.Digest {
	d := xxhash.New()
	var size [8]byte
	for _, field := range fields {
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		_, _ = d.Write(size[:]) // a digest takes all
		_, _ = d.WriteString(field)
	}
	return d
}

// crashKeys returns the keys that identify what in the request may crash replicas: repetitions of it by
// its organisation, method, host, target and body, and each shared part of its prompt.
func (req *request) crashKeys() attempt.RequestKeys {
	organisation := ""
	if req.organisation != nil {
		organisation = req.organisation.Name
	}
	d := hashFields(organisation, req.httpRequest.Method, req.httpRequest.Host, req.httpRequest.RequestURI)
	for _, piece := range req.body.pieces {
		_, _ = d.Write(piece)
	}
	keys := attempt.RequestKeys{Fingerprint: d.Sum64()}
	for _, part := range req.params.SharedParts() {
		keys.Parts = append(keys.Parts, hashFields(req.service.Name, req.params.Model, part.ID).Sum64())
	}
	return keys
}

// givenUpPart returns the ID of the part that a key identifies, "" if it is the whole request.
func (req *request) givenUpPart(key uint64) string {
	for i, part := range req.keys.Parts {
		if part == key {
			return req.params.Parts[i].ID
		}
	}
	return ""
}

// answerIfPoison answers a poison request: it, or a part of its prompt, crashed too many replicas. It
// reports whether it did.
func (req *request) answerIfPoison() bool {
	key, wait, rejected := req.givenUp()
	if !rejected || req.beginTrial(key) {
		return false
	}
	req.answerGivenUp(key, wait)
	return true
}

// rejectPlaced answers a request that was given up while it waited for its placement. It reports
// whether it did.
func (req *request) rejectPlaced(p *placement) bool {
	key, wait, rejected := req.givenUp()
	if !rejected {
		return false
	}
	req.cancelPlacement(p)
	req.answerGivenUp(key, wait)
	return true
}

// givenUp returns the key for which the request may not run, and for how long; false if it may.
func (req *request) givenUp() (key uint64, wait time.Duration, rejected bool) {
	s := req.entry.state
	s.mu.Lock()
	defer s.mu.Unlock()
	key, wait, rejected = s.crashes.GivenUp(req.keys, req.entry.clock.now())
	return key, wait, rejected && !req.trial
}

// beginTrial reports whether the request is to find out whether a key is given up rightly. Of all
// entries one lets requests with a key run for that.
func (req *request) beginTrial(key uint64) bool {
	e := req.entry
	if e.peers == nil || rendezvous.First(key, e.peers.allIDs()) != e.settings.ID {
		return false
	}
	e.state.mu.Lock()
	req.trial = e.state.crashes.BeginTrial(key, e.clock.now())
	e.state.mu.Unlock()
	return req.trial
}

// answerGivenUp answers a request that may not run for a key.
func (req *request) answerGivenUp(key uint64, wait time.Duration) {
	req.entry.tel.Metrics.Count("requests_given_up", 1)
	req.entry.repeatGivenUp(key)
	reason := reasonRequestGivenUp
	if req.givenUpBy = req.givenUpPart(key); req.givenUpBy != "" {
		reason = reasonPartGivenUp
	}
	switch {
	case req.firstByte > 0:
		req.abort(reason)
	case req.plan.MayHaveRun():
		req.fail(http.StatusBadGateway, reason, wait)
	default:
		req.refuse(reason, wait)
	}
}

// recordBrokenRun records that the request's run broke off at a replica. It starts one probe of the
// replica for all runs that broke off there together: if the replica has crashed, no more requests
// may be sent to it, and the crash counts against the request.
func (req *request) recordBrokenRun(p *placement) {
	s := req.entry.state
	s.mu.Lock()
	now := req.entry.clock.now()
	keys := req.keys
	if p.events > 0 && now-p.firstEventAt > writingProvesSound {
		keys.Parts = nil
	}
	crashes := s.crashes.RecordBrokenRun(keys, p.replica.ID, p.sentAt, now)
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

// publishCrashes sends crashes counted here to the other entries, and keeps what is given up for them.
func (e *Entry) publishCrashes(crashes []attempt.CrashReport) {
	if len(crashes) == 0 {
		return
	}
	e.sendCrashes(crashes)
	e.verdicts.write(crashes)
}

// sendCrashes sends crashes to the other entries.
func (e *Entry) sendCrashes(crashes []attempt.CrashReport) {
	var records [][]byte
	for i := range crashes {
		lost := e.logCrash(&crashes[i], e.settings.ID)
		if crashes[i].GivenUp || lost >= minStoredCrashes {
			envelope := rollout.Envelope{Crash: &crashes[i], AtMs: time.Now().UnixMilli()}
			records = append(records, envelope.Encode())
			e.noteStored(&crashes[i])
		}
	}
	e.peers.sendCrashes(crashes)
	if len(records) > 0 {
		go e.storeCrashes(records)
	}
}

// repeatGivenUp tells the other entries again that a key is given up, if they haven't been told for a
// time: those that have started since may have no record of it.
func (e *Entry) repeatGivenUp(key uint64) {
	pause := givenUpRepeat + time.Duration(hashFields(e.settings.ID).Sum64()%uint64(givenUpSpread))
	s := e.state
	s.mu.Lock()
	now := e.clock.now()
	at, told := s.crashNews.announced.Peek(key)
	verdict, givenUp := s.crashes.Verdict(key, now)
	due := givenUp && (!told || now-at > pause)
	if due {
		s.crashNews.announced.Add(key, now)
	}
	s.mu.Unlock()
	if due {
		e.sendCrashes([]attempt.CrashReport{verdict})
		e.verdicts.writeMissing(verdict)
	}
}

// receiveCrashes counts crashes that other entries have seen. If good answers with their keys were given
// here, the other entries are told.
func (e *Entry) receiveCrashes(crashes []attempt.CrashReport, from string) {
	crashes = slices.DeleteFunc(crashes, func(c attempt.CrashReport) bool { return !c.Valid() })
	e.state.mu.Lock()
	now := e.clock.now()
	for i := range crashes {
		e.state.crashes.Merge(crashes[i], now)
		e.state.noteSound(append(slices.Clone(crashes[i].Parts), crashes[i].Fingerprint), now)
	}
	var judged []attempt.CrashReport
	for i := range crashes {
		// Who counted the last crash tells the others what is given up.
		for _, key := range e.state.crashes.Judge(crashes[i].Replica, now) {
			judged = append(judged, attempt.CrashReport{Fingerprint: key, Replica: crashes[i].Replica})
		}
	}
	e.state.mu.Unlock()
	e.wakeRestricted()
	for i := range crashes {
		e.logCrash(&crashes[i], from)
	}
	for i := range judged {
		e.logJudged(&judged[i], from)
	}
}

// receivePastCrash counts a crash of which a record is read that is from before this entry knew of good answers.
// What is given up is in topicVerdicts.
func (e *Entry) receivePastCrash(crash attempt.CrashReport) {
	e.state.mu.Lock()
	e.state.crashes.MergePast(crash, e.clock.now())
	e.state.mu.Unlock()
	if !crash.GivenUp {
		e.logCrash(&crash, "past record of "+topicEntries)
	}
}

// noteSound notes the keys with which good answers were given here. The caller holds mu.
func (s *state) noteSound(keys []uint64, now time.Duration) {
	for _, key := range keys {
		if _, sound := s.crashes.SoundAt(key, now); sound {
			s.crashNews.sound[key] = true
		}
	}
}

// recordGoodAnswer clears the request's keys, and returns those that aren't given up any more. The caller
// holds mu.
func (s *state) recordGoodAnswer(keys attempt.RequestKeys, now time.Duration) (lifted []uint64) {
	return s.liftedBy(keys, now, func() {
		s.noteSound(s.crashes.RecordSuccess(keys, now), now)
	})
}

// sendSound tells the other entries of keys with which good answers were given. Where many entries know
// the same, about soundSenders of them send it.
func (e *Entry) sendSound() {
	e.state.mu.Lock()
	now := e.clock.now()
	var list peermessage.Sound
	for key := range e.state.crashNews.sound {
		if len(list) == maxMessageSound {
			break
		}
		if rand.IntN(max(1, e.state.entries)) >= soundSenders {
			continue
		}
		delete(e.state.crashNews.sound, key)
		if at, sound := e.state.crashes.SoundAt(key, now); sound {
			list = append(list, attempt.SoundKey{Key: key, AgeMs: uint32((now - at).Milliseconds())})
		}
	}
	e.state.mu.Unlock()
	if len(list) > 0 {
		e.peers.broadcast(list)
	}
}

// receiveSound clears keys with which another entry saw good answers.
func (e *Entry) receiveSound(list peermessage.Sound) {
	e.state.mu.Lock()
	defer e.state.mu.Unlock()
	now := e.clock.now()
	for _, sound := range list[:min(len(list), maxMessageSound)] {
		at := now - sound.Age()
		if own, known := e.state.crashes.SoundAt(sound.Key, now); !known || own <= at {
			delete(e.state.crashNews.sound, sound.Key)
		}
		e.state.crashes.MergeSound(sound.Key, at)
		e.verdicts.markStored(sound.Key, false)
	}
	e.wakeRestricted()
}

// wakeRestricted makes requests that wait for a key look again whether they may run.
func (e *Entry) wakeRestricted() {
	if e.peers != nil {
		e.peers.grants.wake()
	}
}

// logJudged logs that reports of other entries cause a key to be given up here.
func (e *Entry) logJudged(judged *attempt.CrashReport, from string) {
	e.state.mu.Lock()
	now := e.clock.now()
	count := e.state.crashes.CrashCount(judged.Fingerprint, now)
	lost := e.state.crashes.LostReplicas(judged.Fingerprint, now)
	e.state.mu.Unlock()
	e.tel.Log.Warn("given up by reports of other entries", "key", judged.Fingerprint, "replica", judged.Replica, "strikes", count, "lost_replicas", lost, "from", from)
}

// logCrash logs a crash and returns the highest number of lost replicas among its keys.
func (e *Entry) logCrash(crash *attempt.CrashReport, from string) int {
	now := e.clock.now()
	keys := attempt.RequestKeys{Parts: crash.Parts, Fingerprint: crash.Fingerprint}
	e.state.mu.Lock()
	count := e.state.crashes.CrashCount(crash.Fingerprint, now)
	lost := e.state.crashes.LostReplicas(crash.Fingerprint, now)
	partCounts, partLost := make([]int, len(crash.Parts)), make([]int, len(crash.Parts))
	for i, part := range crash.Parts {
		partCounts[i] = e.state.crashes.CrashCount(part, now)
		partLost[i] = e.state.crashes.LostReplicas(part, now)
	}
	givenUp, _, rejected := e.state.crashes.GivenUp(keys, now)
	if crash.GivenUp && rejected {
		e.state.crashNews.announced.Add(crash.Fingerprint, now)
	}
	e.state.mu.Unlock()
	if crash.GivenUp && !rejected {
		e.tel.Log.Info("verdict of another entry has ended", "key", crash.Fingerprint, "replica", crash.Replica, "ended_ms_ago", crash.AgeMs, "from", from)
		return count
	}
	if crash.GivenUp {
		e.tel.Metrics.Count("crash_keys_given_up", 1)
		e.tel.Log.Warn("given up: requests with this key crash replicas", "key", givenUp, "replica", crash.Replica, "from", from)
		return count
	}
	e.tel.Metrics.Count("requests_struck", 1)
	e.tel.Log.LogAttrs(context.Background(), slog.LevelInfo, "crash counted against a request",
		slog.Uint64("fingerprint", crash.Fingerprint), slog.String("replica", crash.Replica), slog.Int("strikes", count), slog.Int("lost_replicas", lost),
		slog.Any("part_keys", crash.Parts), slog.Any("part_strikes", partCounts), slog.Any("part_lost_replicas", partLost),
		slog.Int64("ran_ms", int64(crash.RanMs)), slog.Int64("ended_ms_ago", int64(crash.AgeMs)), slog.Bool("given_up", rejected), slog.String("from", from))
	return max(lost, slices.Max(append(partLost, 0)))
}
