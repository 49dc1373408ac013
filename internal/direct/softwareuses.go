package direct

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"skylarklead/internal/fleet"
	"skylarklead/internal/origin"
	"skylarklead/internal/peermessage"
	"skylarklead/internal/rendezvous"
	"skylarklead/internal/strictcbor"
	"skylarklead/internal/wait"
)

const (
	// topicSoftware has the software versions at which streams may have begun that can be taken up.
	topicSoftware = "keyed.skylark.software"
	// completeKey is the key of the record that says that the others are complete.
	completeKey = "complete"
	// evidencePause is the least pause between an entry's reads for streams that are taken up, and
	// evidencePausePerEntry what each entry adds, so that all together stay below the store's limit.
	evidencePause         = 100 * time.Millisecond
	evidencePausePerEntry = time.Millisecond
	// settleTimeout is how long an entry that starts may take to have the listed versions recorded before
	// it is ready: for requests other than streams, and streams at those that are.
	settleTimeout = time.Second
	// startPause is the pause of an entry that starts until it looks again whether the versions are recorded.
	startPause = 50 * time.Millisecond
	// refusalReuse is how long after a read streams are refused by it, without another one.
	refusalReuse = time.Second
	// maxAskedPeers is how many peers are asked whether a use is recorded.
	maxAskedPeers = 3
)

// errMalformedUse reports a record of topicSoftware that can't be decoded.
var errMalformedUse = errors.New("direct: malformed record of a software version")

// storedUse is a record of topicSoftware. That of completeKey has only an era, plus one: the records are
// complete in that era alone.
type storedUse struct {
	Service  string `cbor:"1,keyasint,omitempty"`
	Version  string `cbor:"2,keyasint,omitempty"`
	Model    string `cbor:"3,keyasint,omitempty"`
	Closing  bool   `cbor:"4,keyasint,omitempty"`
	Complete uint64 `cbor:"5,keyasint,omitempty"`
}

var useDecoder = strictcbor.Decoder(strictcbor.Bounds{MapPairs: 16})

func encodeUse(u *storedUse) []byte {
	b, err := cbor.Marshal(u)
	if err != nil {
		panic(err) // the type has only fields that can be encoded
	}
	return b
}

// decodeEvidence decodes the records of topicSoftware. One that can't be decoded may be that of any use, so
// nothing is complete beside it.
func decodeEvidence(page fleet.Page) (origin.Evidence, error) {
	e := origin.Evidence{Era: fleet.Era(page.Next), Uses: make(map[origin.Use]origin.Recorded, len(page.Records))}
	var malformed error
	for _, record := range page.Records {
		var u storedUse
		if err := useDecoder.Unmarshal(record.Value, &u); err != nil {
			malformed = fmt.Errorf("%w: %q: %w", errMalformedUse, record.Key, err)
			continue
		}
		name := origin.UseName{Service: u.Service, Version: u.Version, Model: u.Model}
		switch {
		case record.Key == completeKey:
			e.Complete = u.Complete == e.Era+1
		case u.Version == "" || name.Use().Key() != record.Key:
			malformed = fmt.Errorf("%w: %q names %q", errMalformedUse, record.Key, name)
		default:
			e.Uses[name.Use()] = origin.Recorded{Name: name, Closing: u.Closing}
		}
	}
	e.Complete = e.Complete && malformed == nil
	return e, malformed
}

func encodeUseRecord(name origin.UseName, closing bool) fleet.Record {
	return fleet.Record{Key: name.Use().Key(), Value: encodeUse(&storedUse{Service: name.Service, Version: name.Version, Model: name.Model, Closing: closing})}
}

func encodeCompleteRecord(era uint64) fleet.Record {
	return fleet.Record{Key: completeKey, Value: encodeUse(&storedUse{Complete: era + 1})}
}

// useNamesOf returns the uses of a replica.
func useNamesOf(r *fleet.Replica) []origin.UseName {
	if len(r.Weights) == 0 {
		return []origin.UseName{{Service: r.Service, Version: r.Software}}
	}
	names := make([]origin.UseName, 0, len(r.Weights))
	for model := range r.Weights {
		names = append(names, origin.UseName{Service: r.Service, Version: r.Software, Model: model})
	}
	return names
}

// listUses records the uses of a listed replica. It reports whether one waits to be recorded. The caller
// holds mu.
func (s *state) listUses(r *fleet.Replica, now time.Duration) bool {
	waits := false
	for _, name := range useNamesOf(r) {
		waits = s.uses.Listed(name, now) || waits
	}
	return waits
}

// mayBegin reports whether a stream of a model may begin at a replica. One that was adopted may run any
// software until its record is read. While the store is down no record comes, and streams are served there all
// the same; they are announced as of unknown software. The caller holds mu.
func (s *state) mayBegin(r *fleet.Replica, model string) bool {
	if r.Software == "" {
		return s.storeDown.Load()
	}
	return s.uses.May(origin.SoftwareOf(r.Service, r.Software), model)
}

// softwareUses keeps in the store at which software versions streams may have begun. So an entry that has
// just started knows what one knows that has run all the while.
type softwareUses struct {
	entry *Entry
	// wake triggers a step.
	wake chan struct{}
	// begun is closed once the records have been read, and begun if no entry has ever run before.
	begun chan struct{}
	// started is set once the records have been read after the list. Nothing is written before.
	started atomic.Bool
	// settled is set once streams may begin at all versions that were listed at the start, or after
	// settleTimeout. The entry isn't ready before.
	settled atomic.Bool
	// failing is set while reads fail, so that they are logged once.
	failing atomic.Bool
	// pending is a read after which records may be removed; nil if there is none.
	pending *usesRead

	mu sync.Mutex
	// next is the read that streams wait for which were taken up since the last one began.
	next *usesRead
	last *usesRead
	// earliest is when the next one may begin.
	earliest time.Duration
}

// usesRead is a read of the records: when it began and ended, the position that it ended at, and what it
// returned, once done is closed.
type usesRead struct {
	done         chan struct{}
	began, ended time.Duration
	end          uint64
	evidence     origin.Evidence
	err          error
}

func newSoftwareUses(e *Entry) *softwareUses {
	return &softwareUses{entry: e, wake: make(chan struct{}, 1), begun: make(chan struct{})}
}

// run records and removes uses until ctx ends.
func (u *softwareUses) run(ctx context.Context) {
	var start sync.WaitGroup
	defer start.Wait()
	start.Go(func() { u.start(ctx) })
	listedAt := time.Duration(0)
	for {
		in := sweepInterval
		if u.entry.state.listKnown() {
			now := u.entry.clock.now()
			if listedAt == 0 {
				listedAt = now
			}
			if u.started.Load() {
				in = u.step(ctx)
			} else if names := u.unrecorded(); len(names) > 0 {
				// The store may not answer, or only after its timeout.
				u.ask(names)
			}
			u.settled.Store(u.settled.Load() || len(u.unrecorded()) == 0 || u.entry.clock.now()-listedAt > settleTimeout)
		}
		if !u.settled.Load() {
			in = min(in, startPause)
		}
		select {
		case <-ctx.Done():
			return
		case <-u.wake:
		case <-time.After(in):
		}
	}
}

// start begins the records and reads them for the versions that are listed at the start: what is read before
// the list counts for none of its uses. Only then are records written, so that begin finds none of this entry.
func (u *softwareUses) start(ctx context.Context) {
	for u.begin(ctx) != nil {
		if wait.For(ctx, verdictReadPause) != nil {
			return
		}
	}
	close(u.begun)
	for !u.entry.state.listKnown() || u.read(ctx).err != nil {
		if wait.For(ctx, startPause) != nil {
			return
		}
	}
	u.started.Store(true)
	trySignal(u.wake)
}

// unrecorded returns the listed uses at which streams may not begin.
func (u *softwareUses) unrecorded() []origin.UseName {
	e := u.entry
	e.state.mu.Lock()
	defer e.state.mu.Unlock()
	return e.state.uses.Unrecorded()
}

// begin reads the records. If the store has none, and no entry has ever registered, they are complete: no
// stream has begun. Entries register after this.
func (u *softwareUses) begin(ctx context.Context) error {
	r := u.read(ctx)
	if r.err != nil || r.end > 0 {
		return r.err
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, err := u.entry.platform.Store.Newest(callCtx, topicPeers)
	if err != nil || entries.Next > 0 {
		return err
	}
	if _, err := u.entry.platform.Store.PutAll(callCtx, topicSoftware, &r.end, []fleet.Record{encodeCompleteRecord(0)}); err != nil {
		return err
	}
	u.entry.tel.Log.Info("records of software versions begun")
	return nil
}

// read reads the records and applies them.
func (u *softwareUses) read(ctx context.Context) *usesRead {
	r := &usesRead{done: make(chan struct{})}
	u.readInto(ctx, r)
	return r
}

func (u *softwareUses) readInto(ctx context.Context, r *usesRead) {
	e := u.entry
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	defer close(r.done)
	r.began = e.clock.now()
	page, err := e.platform.Store.Newest(callCtx, topicSoftware)
	r.ended, r.end = e.clock.now(), page.Next
	if err != nil {
		r.err = err
		if !u.failing.Swap(true) {
			e.tel.Log.Warn("software versions not read from the store", "error", err)
		}
		return
	}
	u.failing.Store(false)
	if r.evidence, err = decodeEvidence(page); err != nil {
		e.tel.Log.Warn("record of a software version skipped", "error", err)
	}
	e.state.mu.Lock()
	defer e.state.mu.Unlock()
	if !e.state.uses.Read(&r.evidence, r.began, r.ended) {
		r.err = fleet.ErrStoreRestored
	}
	e.state.placeAllQueued(r.ended)
}

// step writes, asks for and removes what is due, and returns how long until the next step.
func (u *softwareUses) step(ctx context.Context) time.Duration {
	e := u.entry
	all := e.peers.allIDs()
	now := e.clock.now()
	asOf := time.Duration(e.state.listReadAt.Load())
	e.state.mu.Lock()
	due := e.state.uses.Due(asOf, now, func(key uint64) int { return rendezvous.Rank(key, e.settings.ID, all) })
	e.state.mu.Unlock()
	if len(due.Ask) > 0 {
		u.ask(due.Ask)
	}
	if len(due.Write) > 0 {
		u.write(ctx, due.Write)
	}
	switch {
	case !due.Tidy:
		u.pending = nil
	case u.pending == nil:
		u.pending = u.read(ctx)
	case u.pending.err != nil:
		u.tidied(u.pending.err)
	case asOf >= u.pending.ended:
		u.tidied(u.tidy(ctx, u.pending, asOf))
	}
	if due.In > 0 {
		return min(due.In, sweepInterval)
	}
	return sweepInterval
}

// write records uses and announces them.
func (u *softwareUses) write(ctx context.Context, names []origin.UseName) {
	e := u.entry
	records := make([]fleet.Record, len(names))
	for i, name := range names {
		records[i] = encodeUseRecord(name, false)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	at, err := e.platform.Store.PutAll(ctx, topicSoftware, nil, records)
	if err != nil {
		e.tel.Metrics.Count("software_unrecorded", 1)
		e.tel.Log.Warn("software versions not written to the store", "versions", names, "error", err)
		return
	}
	e.tel.Log.Info("software versions written to the store", "versions", names)
	uses := make([]origin.Use, len(names))
	for i, name := range names {
		uses[i] = name.Use()
	}
	u.applyWritten(uses, fleet.Era(at))
	for _, m := range usesMessages(uses, fleet.Era(at)) {
		e.peers.origins.send(m, e.peers.addresses()...)
	}
}

// applyWritten records that uses were written to the store, and places the requests that wait for that.
func (u *softwareUses) applyWritten(uses []origin.Use, era uint64) {
	e := u.entry
	now := e.clock.now()
	e.state.mu.Lock()
	defer e.state.mu.Unlock()
	e.state.uses.EraBegan(era, now)
	news := false
	for _, use := range uses {
		news = e.state.uses.Written(use, era, now) || news
	}
	if news {
		e.state.notifyChanged()
		e.state.placeAllQueued(now)
	}
}

// tidy removes records, on the condition that none was written since a read.
func (u *softwareUses) tidy(ctx context.Context, r *usesRead, asOf time.Duration) error {
	e := u.entry
	e.state.mu.Lock()
	change := e.state.uses.Tidy(&r.evidence, asOf)
	e.state.mu.Unlock()
	if change.Empty() {
		return nil
	}
	var records []fleet.Record
	for _, use := range change.Close {
		records = append(records, encodeUseRecord(r.evidence.Uses[use].Name, true))
	}
	for _, use := range change.Remove {
		records = append(records, fleet.Record{Key: use.Key()})
	}
	if change.Complete {
		records = append(records, encodeCompleteRecord(r.evidence.Era))
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := e.platform.Store.PutAll(callCtx, topicSoftware, &r.end, records); err != nil {
		return err
	}
	e.tel.Log.Info("records of software versions tidied", "closing", len(change.Close), "removed", len(change.Remove), "complete", change.Complete)
	return u.read(ctx).err
}

// tidied ends an attempt to remove records.
func (u *softwareUses) tidied(err error) {
	e := u.entry
	u.pending = nil
	if err != nil {
		e.tel.Log.Warn("records of software versions not tidied", "error", err)
	}
	e.state.mu.Lock()
	defer e.state.mu.Unlock()
	e.state.uses.TidyFailed(e.clock.now())
}

// only returns the version that began all streams of a model which can be taken up now, Unknown if that
// can't be told. It reads the store after it was called: any stream that the caller has had a part of began
// at a version that had been recorded by then.
func (u *softwareUses) only(ctx context.Context, model string) origin.Software {
	r := u.join(model)
	if r == nil {
		return origin.Unknown
	}
	ctx, cancel := context.WithTimeout(ctx, u.readPause()+originTimeout)
	defer cancel()
	select {
	case <-r.done:
	case <-ctx.Done():
		return origin.Unknown
	}
	if r.err != nil {
		return origin.Unknown
	}
	return r.evidence.Only(model)
}

func (u *softwareUses) readPause() time.Duration {
	return evidencePause + evidencePausePerEntry*time.Duration(u.entry.state.entryCount())
}

// join returns the next read that begins, nil if the last one says that the version can't be told.
func (u *softwareUses) join(model string) *usesRead {
	now := u.entry.clock.now()
	pause := u.readPause()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.last != nil && u.last.err == nil && now-u.last.ended < refusalReuse && u.last.evidence.Only(model) == origin.Unknown {
		return nil
	}
	if u.next != nil {
		return u.next
	}
	r := &usesRead{done: make(chan struct{})}
	u.next = r
	begins := max(now, u.earliest)
	u.earliest = begins + pause
	time.AfterFunc(begins-now, func() {
		u.mu.Lock()
		u.next = nil
		u.mu.Unlock()
		u.readInto(context.Background(), r)
		u.mu.Lock()
		u.last = r
		u.mu.Unlock()
	})
	return r
}

// usesMessages returns messages that uses were written in an era.
func usesMessages(uses []origin.Use, era uint64) []*peermessage.Streams {
	var messages []*peermessage.Streams
	for batch := range slices.Chunk(uses, maxMessageStreams/2) {
		m := &peermessage.Streams{Era: era}
		for _, use := range batch {
			m.Written = append(m.Written, peermessage.WrittenUse{Software: uint64(use.Software), Model: use.Model})
		}
		messages = append(messages, m)
	}
	return messages
}

// ask asks some peers whether uses are recorded, for an entry whose own writes fail.
func (u *softwareUses) ask(names []origin.UseName) {
	m := &peermessage.Streams{}
	for _, name := range names[:min(len(names), maxMessageStreams/2)] {
		m.AskedUses = append(m.AskedUses, peermessage.WrittenUse{Software: uint64(name.Use().Software), Model: name.Use().Model})
	}
	to := u.entry.peers.addresses()
	rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	u.entry.peers.origins.send(m, to[:min(len(to), maxAskedPeers)]...)
}

// receive handles what a message of another entry says of uses.
func (u *softwareUses) receive(m *peermessage.Streams, from netip.AddrPort) {
	var uses []origin.Use
	for _, w := range m.Written[:min(len(m.Written), maxMessageStreams)] {
		uses = append(uses, origin.Use{Software: origin.Software(w.Software), Model: w.Model})
	}
	if len(uses) > 0 {
		u.applyWritten(uses, m.Era)
	}
	if len(m.AskedUses) == 0 {
		return
	}
	e := u.entry
	var known []origin.Use
	e.state.mu.Lock()
	era := e.state.uses.Era()
	for _, w := range m.AskedUses[:min(len(m.AskedUses), maxMessageStreams)] {
		if use := (origin.Use{Software: origin.Software(w.Software), Model: w.Model}); e.state.uses.Knows(use, e.clock.now()) {
			known = append(known, use)
		}
	}
	e.state.mu.Unlock()
	for _, answer := range usesMessages(known, era) {
		e.peers.origins.send(answer, from)
	}
}
