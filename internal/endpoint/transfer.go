package endpoint

import (
	"context"
	"errors"
	"slices"
	"time"

	"skylarklead/internal/engine"
	"skylarklead/internal/prefix"
	"skylarklead/internal/protocol"
	"skylarklead/internal/telemetry"
	"skylarklead/internal/wire"
)

const (
	// maxImports and maxExports bound the transfers at once, either way, and
	// maxTransferBlocks the blocks of one. Past them prefixes are computed.
	maxImports        = 4
	maxExports        = 4
	maxTransferBlocks = 2048
)

// The outcomes of an import beside those of wire.ExportRefusal.
const (
	importDone        = "imported"
	importOtherPrompt = "other_prompt"
	importDonorLost   = "donor_lost"
	importNotAsked    = "not_asked_for"
	importFailed      = "import_failed"
)

// transfers are the imports and exports that this process has under way.
//
// An import is an optimisation: whatever goes wrong, the request is handed to the
// engine after the import's bound and computes what isn't there. Nothing counts as
// held for its sake; that comes with the engine's own events and answers.
type transfers struct {
	imports map[prefix.Hash]*transfer // by the hash of the level
	exports int
}

// transfer is an import that attempts wait for until done is closed.
type transfer struct {
	donor  *protocol.Donor
	run    *protocol.Run // the first of them
	hashes []prefix.Hash
	bound  time.Duration
	done   chan struct{}
}

// importFor returns the import that an attempt is to wait for, or nil. One that
// has no donor waits for what others import of its prompt, or it would compute
// the same blocks beside them.
func (e *Endpoint) importFor(a *execution) *transfer {
	for _, l := range a.run.Levels {
		if t := e.transfers.imports[l.Hash]; t != nil {
			return t
		}
	}
	t := e.newImport(a)
	if t == nil || len(e.transfers.imports) >= maxImports {
		return nil
	}
	if e.transfers.imports == nil {
		e.transfers.imports = make(map[prefix.Hash]*transfer)
	}
	e.transfers.imports[t.donor.Level.Hash] = t
	go e.runImport(t)
	return t
}

// newImport returns what a's donor is to be asked for, nil if nothing.
func (e *Endpoint) newImport(a *execution) *transfer {
	d := a.run.Donor
	if d == nil || e.settings.Endpoint.TransferTokensPerSecond <= 0 || e.engine == nil || d.Target.Endpoint == e.settings.ID {
		return nil
	}
	blocks := d.Level.Tokens / prefix.BlockTokens
	// The chain is salted by the organisation, model and weights of the Run. A
	// level that isn't in it is another organisation's, or of other weights;
	// asked for, its blocks would come under a salt that they don't belong to.
	if blocks < 1 || blocks > len(a.chain) || a.chain[blocks-1] != d.Level.Hash || d.Version != a.run.Version {
		e.recordImport(&transfer{donor: d, run: a.run}, importOtherPrompt, 0)
		return nil
	}
	resident, _ := e.picture.Resident(a.chain)
	from := resident / prefix.BlockTokens
	if from >= blocks || blocks-from > maxTransferBlocks {
		return nil
	}
	hashes := a.chain[from:blocks]
	computing := float64(len(hashes)*prefix.BlockTokens) / e.settings.Endpoint.PrefillTokensPerSecond
	bound := min(e.settings.Endpoint.TransferWait.D(), time.Duration(computing*float64(time.Second)))
	return &transfer{donor: d, run: a.run, hashes: hashes, bound: bound, done: make(chan struct{})}
}

// await holds an attempt up until the import has ended, which its bound sees to.
func (t *transfer) await(ctx context.Context) {
	if t == nil {
		return
	}
	select {
	case <-t.done:
	case <-ctx.Done():
	}
}

func (e *Endpoint) runImport(t *transfer) {
	ctx, stop := context.WithTimeout(context.Background(), t.bound)
	defer stop()
	outcome, blocks := e.importBlocks(ctx, t)
	close(t.done)
	e.recordImport(t, outcome, blocks)
	e.loop.must(func() { delete(e.transfers.imports, t.donor.Level.Hash) })
}

// importBlocks moves a transfer's blocks, and returns how many the engine took.
func (e *Endpoint) importBlocks(ctx context.Context, t *transfer) (outcome string, blocks int) {
	exported, err := e.askDonor(ctx, t)
	if err != nil {
		e.log.Debug("donor not asked", "donor", t.donor.Target.Endpoint, "error", err)
		return importDonorLost, 0
	}
	if why := t.refuse(exported); why != "" {
		return why, 0
	}
	e.tel.Metrics.Count("kv_import_bytes", int64(len(exported.Blob)))
	blocks, err = e.engine.ImportKV(ctx, engine.KV{
		Incarnation: exported.Incarnation,
		Weights:     exported.Version,
		Hashes:      exported.Hashes,
		Blob:        exported.Blob,
		CacheSalt:   t.run.Organisation,
	})
	switch {
	case errors.Is(err, engine.ErrWeightsMismatch):
		return string(protocol.ExportOtherWeights), 0
	case err != nil:
		e.log.Debug("blocks not imported", "donor", t.donor.Target.Endpoint, "error", err)
		return importFailed, 0
	}
	return importDone, blocks
}

func (e *Endpoint) askDonor(ctx context.Context, t *transfer) (*protocol.Exported, error) {
	s, err := e.pool.Get(ctx, t.donor.Target.Address)
	if err != nil {
		return nil, err
	}
	reply, err := s.Call(ctx, &protocol.Export{
		Epoch:       t.donor.Target.Epoch,
		Incarnation: t.donor.Incarnation,
		Version:     t.donor.Version,
		Hashes:      t.hashes,
	})
	if err != nil {
		return nil, err
	}
	exported, ok := reply.(*protocol.Exported)
	if !ok {
		return nil, errNoExport
	}
	return exported, nil
}

var errNoExport = errors.New("endpoint: donor's reply is no export")

// refuse returns why an answer isn't imported, empty if it is.
//
// The donor's engine may have crashed, its process restarted or its weights
// changed since the decision. The answer then has blocks that the owner never
// decided on: an engine that doesn't check would serve them as this prompt's.
func (t *transfer) refuse(x *protocol.Exported) string {
	switch {
	case x.Refusal != "":
		return string(x.Refusal)
	case x.Epoch != t.donor.Target.Epoch:
		return string(protocol.ExportOtherEpoch)
	case x.Incarnation != t.donor.Incarnation:
		return string(protocol.ExportOtherIncarnation)
	case x.Version != t.donor.Version:
		return string(protocol.ExportOtherWeights)
	case len(x.Hashes) == 0:
		return string(protocol.ExportNothingHeld)
	case len(x.Hashes) > len(t.hashes), !slices.Equal(x.Hashes, t.hashes[:len(x.Hashes)]):
		return importNotAsked
	}
	return ""
}

func (e *Endpoint) recordImport(t *transfer, outcome string, blocks int) {
	if outcome == importDone {
		e.tel.Metrics.Count("kv_imports", 1)
		e.tel.Metrics.Count("kv_import_tokens", int64(blocks*prefix.BlockTokens))
	} else {
		e.tel.Metrics.Count("kv_import_"+outcome, 1)
	}
	e.tel.Decisions.Record(protocol.DecisionRecord{
		Request:         t.run.Request,
		Kind:            telemetry.KindImport,
		Organisation:    t.run.Organisation,
		Owner:           t.run.Owner,
		Executor:        e.settings.ID,
		Reason:          outcome,
		PredictedCached: len(t.hashes) * prefix.BlockTokens,
		ActualCached:    blocks * prefix.BlockTokens,
		Donor:           t.donor.Target.Endpoint,
	})
}

// onExport gives blocks of the engine to a peer that imports them.
func (e *Endpoint) onExport(s *wire.Session, ref uint32, m *protocol.Export) {
	if why := e.refuseExport(m); why != "" {
		e.reply(s, ref, &protocol.Exported{Refusal: why, Epoch: e.tel.Epoch})
		return
	}
	e.transfers.exports++
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), e.settings.Endpoint.TransferWait.D())
		defer stop()
		x := e.export(ctx, m)
		e.loop.must(func() {
			e.transfers.exports--
			e.reply(s, ref, x)
		})
	}()
}

func (e *Endpoint) refuseExport(m *protocol.Export) protocol.ExportRefusal {
	switch {
	case e.engine == nil, e.transfers.exports >= maxExports:
		return protocol.ExportBusy
	case len(m.Hashes) > maxTransferBlocks:
		return protocol.ExportTooLarge
	case m.Epoch != e.tel.Epoch:
		return protocol.ExportOtherEpoch
	case m.Incarnation != e.watch.incarnation:
		return protocol.ExportOtherIncarnation
	case m.Version != e.watch.version:
		return protocol.ExportOtherWeights
	}
	return ""
}

// export reads blocks from the engine. What the watch knows of it is a load report
// old; the answer's own word is of the moment of the export.
func (e *Endpoint) export(ctx context.Context, m *protocol.Export) *protocol.Exported {
	kv, err := e.engine.ExportKV(ctx, m.Hashes)
	x := &protocol.Exported{Epoch: e.tel.Epoch, Incarnation: kv.Incarnation, Version: kv.Weights, Hashes: kv.Hashes, Blob: kv.Blob}
	switch {
	case err != nil:
		e.log.Debug("engine exported nothing", "error", err)
		x.Refusal = protocol.ExportFailed
	case kv.Incarnation != m.Incarnation:
		x.Refusal = protocol.ExportOtherIncarnation
	case kv.Weights != m.Version:
		x.Refusal = protocol.ExportOtherWeights
	case len(kv.Blob) > protocol.MaxExportBytes:
		x.Refusal = protocol.ExportTooLarge
	}
	if x.Refusal != "" {
		x.Hashes, x.Blob = nil, nil
		return x
	}
	e.tel.Metrics.Count("kv_export_bytes", int64(len(kv.Blob)))
	return x
}
