package direct

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"skylarklead/internal/attempt"
	"skylarklead/internal/fleet"
	"skylarklead/internal/strictcbor"
	"skylarklead/internal/wait"
)

const (
	// topicVerdicts has the keys that are given up. It is keyed: the store keeps the newest record of each
	// key for as long as there is one, whatever becomes of the entries and of the store's history.
	topicVerdicts = "keyed.skylark.verdicts"
	// maxVerdicts bounds the verdicts that an entry takes from the store, the newest ones, and those that it
	// knows to be there. maxVerdictDeletes bounds the expired ones that it deletes at a time.
	maxVerdicts       = 1024
	maxVerdictDeletes = 16
	// verdictReadPause is the pause after a failed read, verdictReadSpread spreads those of many entries
	// that lost records of their own topic at the same moment.
	verdictReadPause  = 300 * time.Millisecond
	verdictReadSpread = time.Second
)

// errMalformedVerdict reports a record of topicVerdicts that can't be decoded.
var errMalformedVerdict = errors.New("direct: malformed verdict")

// storedVerdict is the record of a key that is given up.
type storedVerdict struct {
	Report attempt.CrashReport `cbor:"1,keyasint"`
	// AtMs is when it was written, in Unix milliseconds.
	AtMs int64 `cbor:"2,keyasint"`
}

var verdictDecoder = strictcbor.Decoder(strictcbor.Bounds{MapPairs: 16})

func (v *storedVerdict) encode() []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // the type has only fields that can be encoded
	}
	return b
}

func decodeVerdict(value []byte) (storedVerdict, error) {
	var v storedVerdict
	if err := verdictDecoder.Unmarshal(value, &v); err != nil {
		return v, fmt.Errorf("%w: %w", errMalformedVerdict, err)
	}
	if !v.Report.GivenUp || !v.Report.Valid() || v.AtMs <= 0 {
		return v, fmt.Errorf("%w: a field is missing", errMalformedVerdict)
	}
	return v, nil
}

// verdictKey is the key of a verdict's record.
func verdictKey(key uint64) string { return strconv.FormatUint(key, 16) }

// verdicts keeps what is given up in the store, so that entries which start, or have missed records, know
// it though no other entry is left that could tell them. A write or a deletion that fails isn't repeated at
// once: verdicts are told again while their requests come, and an entry lets one request try now and then.
type verdicts struct {
	entry *Entry
	// reread triggers a read.
	reread chan struct{}

	mu sync.Mutex
	// stored are the keys whose verdict is known to be in the store.
	stored *lru.Cache[uint64, struct{}]
}

func newVerdicts(e *Entry) *verdicts {
	stored, err := lru.New[uint64, struct{}](maxVerdicts)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	v := &verdicts{entry: e, reread: make(chan struct{}, 1), stored: stored}
	v.readAgain()
	return v
}

// readAgain has the verdicts read from the store.
func (v *verdicts) readAgain() {
	select {
	case v.reread <- struct{}{}:
	default:
	}
}

// run reads the verdicts when that is due, until ctx ends.
func (v *verdicts) run(ctx context.Context) {
	var spread time.Duration // none at the start
	for {
		select {
		case <-ctx.Done():
			return
		case <-v.reread:
		}
		if spread > 0 && wait.For(ctx, rand.N(spread)) != nil {
			return
		}
		spread = verdictReadSpread
		for v.read(ctx) != nil {
			if wait.For(ctx, verdictReadPause) != nil {
				return
			}
		}
	}
}

// read takes over the verdicts that the store has.
func (v *verdicts) read(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := v.entry.platform.Store.Newest(callCtx, topicVerdicts)
	if err != nil {
		v.entry.tel.Log.Warn("verdicts not read from the store", "error", err)
		return err
	}
	reports, expired := v.selectRecent(page.Records, time.Now())
	if len(reports) > 0 {
		v.entry.tel.Log.Info("verdicts read from the store", "verdicts", len(reports), "expired", len(expired))
		v.entry.receiveCrashes(reports, topicVerdicts)
	}
	for _, key := range expired[:min(len(expired), maxVerdictDeletes)] {
		v.put(ctx, key, nil)
	}
	return nil
}

// selectRecent returns the newest verdicts that hold, and the keys of those that don't any more: their time is
// over, or a good answer came since and the deletion was lost.
func (v *verdicts) selectRecent(records []fleet.Record, now time.Time) (reports []attempt.CrashReport, expired []string) {
	slices.SortFunc(records, func(a, b fleet.Record) int { return cmp.Compare(b.Offset, a.Offset) })
	for _, record := range records {
		verdict, err := decodeVerdict(record.Value)
		if err != nil {
			v.entry.malformed.report("verdict skipped", record, err)
			continue
		}
		age := now.Sub(time.UnixMilli(verdict.AtMs))
		switch {
		case age > attempt.DefaultCrashTrackerParams.TTL, v.entry.knownSound(verdict.Report.Fingerprint, age):
			expired = append(expired, record.Key)
		case len(reports) < maxVerdicts:
			reports = append(reports, verdict.Report.Aged(max(0, age)))
			v.markStored(verdict.Report.Fingerprint, true)
		}
	}
	return reports, expired
}

// knownSound reports whether a good answer with a key is known that is no older than an age.
func (e *Entry) knownSound(key uint64, age time.Duration) bool {
	e.state.mu.Lock()
	defer e.state.mu.Unlock()
	now := e.clock.now()
	at, sound := e.state.crashes.SoundAt(key, now)
	return sound && now-at <= age
}

func (v *verdicts) markStored(key uint64, stored bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if stored {
		v.stored.Add(key, struct{}{})
	} else {
		v.stored.Remove(key)
	}
}

// forgetStored has verdicts written again when they are next told: the store may have lost them.
func (v *verdicts) forgetStored() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stored.Purge()
}

// writeMissing stores a verdict unless it is known to be there.
func (v *verdicts) writeMissing(verdict attempt.CrashReport) {
	v.mu.Lock()
	stored := v.stored.Contains(verdict.Fingerprint)
	v.mu.Unlock()
	if !stored {
		v.write([]attempt.CrashReport{verdict})
	}
}

// write stores the verdicts among some reports, in the background.
func (v *verdicts) write(reports []attempt.CrashReport) {
	for _, report := range reports {
		if !report.GivenUp {
			continue
		}
		record := storedVerdict{Report: report, AtMs: time.Now().UnixMilli()}
		go func() {
			if v.put(context.Background(), verdictKey(report.Fingerprint), record.encode()) {
				v.markStored(report.Fingerprint, true)
			}
		}()
	}
}

// remove deletes the verdicts of keys that are found sound, in the background.
func (v *verdicts) remove(keys []uint64) {
	for _, key := range keys {
		v.markStored(key, false)
		go v.put(context.Background(), verdictKey(key), nil)
	}
}

// put writes or, with a nil value, deletes a record. It reports whether the store has accepted that.
func (v *verdicts) put(ctx context.Context, key string, value []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := v.entry.platform.Store.Put(ctx, topicVerdicts, key, value); err != nil {
		v.entry.tel.Log.Warn("verdict not written to the store", "key", key, "deleted", value == nil, "error", err)
		return false
	}
	return true
}

// isGivenUp reports whether a key is given up. The caller holds mu.
func (s *state) isGivenUp(key uint64, now time.Duration) bool {
	_, given := s.crashes.Verdict(key, now)
	return given
}

// liftedBy returns those of a request's keys that are given up before a step and aren't after it. The
// caller holds mu.
func (s *state) liftedBy(keys attempt.RequestKeys, now time.Duration, step func()) []uint64 {
	var lifted []uint64
	for _, part := range keys.Parts {
		if s.isGivenUp(part, now) {
			lifted = append(lifted, part)
		}
	}
	if s.isGivenUp(keys.Fingerprint, now) {
		lifted = append(lifted, keys.Fingerprint)
	}
	step()
	return slices.DeleteFunc(lifted, func(key uint64) bool { return s.isGivenUp(key, now) })
}
