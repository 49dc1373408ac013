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
	// maxImports and maxExports bound the concurrent transfers in each direction, and
	// maxTransferBlocks the blocks of one. Beyond these limits prefixes are computed.
	maxImports        = 4
	maxExports        = 4
	maxTransferBlocks = 2048
)

// The outcomes of an import besides those of protocol.ExportRefusal.
const (
	importDone        = "imported"
	importOtherPrompt = "other_prompt"
	importDonorLost   = "donor_lost"
	importNotAsked    = "not_asked_for"
	importFailed      = "import_failed"
)

// transfers are the imports and exports in progress.
//
// An import is an optimisation: whatever fails, the request is sent to the engine after
// the import's timeout and computes the missing blocks. An import alone doesn't make
// blocks count as resident; the engine's own events and answers do.
type transfers struct {
	imports map[prefix.Hash]*transfer // by the hash of the level
	exports int
}

// transfer is an import that attempts wait for until done is closed.
type transfer struct {
	donor   *protocol.Donor
	run     *protocol.Run // the first that asked for it
	hashes  []prefix.Hash
	timeout time.Duration
	done    chan struct{}
}

// importFor returns the import that an attempt has to wait for, or nil. An attempt
// without a donor waits for imports of its prompt by others, as it would otherwise
// compute the same blocks at the same time.
func (e *Endpoint) importFor(a *execution) *transfer {
	for _, level := range a.run.Levels {
		if t := e.transfers.imports[level.Hash]; t != nil {
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

// newImport returns the import from a's donor, nil if there is nothing to import.
func (e *Endpoint) newImport(a *execution) *transfer {
	d := a.run.Donor
	if d == nil || e.settings.Endpoint.TransferTokensPerSecond <= 0 || e.engine == nil || d.Target.Endpoint == e.settings.ID {
		return nil
	}
	blocks := d.Level.Tokens / prefix.BlockTokens
	// The chain is salted with the organisation, model and weights of the Run. A
	// level that isn't in it belongs to another organisation or to other weights; its
	// blocks would be imported under the wrong salt.
	if blocks < 1 || blocks > len(a.chain) || a.chain[blocks-1] != d.Level.Hash || d.Version != a.run.Version {
		e.recordImport(&transfer{donor: d, run: a.run}, importOtherPrompt, 0)
		return nil
	}
	resident, _ := e.cacheView.Resident(a.chain)
	from := resident / prefix.BlockTokens
	if from >= blocks || blocks-from > maxTransferBlocks {
		return nil
	}
	hashes := a.chain[from:blocks]
	computeSeconds := float64(len(hashes)*prefix.BlockTokens) / e.settings.Endpoint.PrefillTokensPerSecond
	timeout := min(e.settings.Endpoint.TransferWait.D(), time.Duration(computeSeconds*float64(time.Second)))
	return &transfer{donor: d, run: a.run, hashes: hashes, timeout: timeout, done: make(chan struct{})}
}

// await blocks until the import has ended, which its timeout guarantees, or ctx has.
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
	ctx, stop := context.WithTimeout(context.Background(), t.timeout)
	defer stop()
	outcome, blocks := e.importBlocks(ctx, t)
	close(t.done)
	e.recordImport(t, outcome, blocks)
	e.loop.postUnbounded(func() { delete(e.transfers.imports, t.donor.Level.Hash) })
}

// importBlocks moves a transfer's blocks, and returns how many the engine accepted.
func (e *Endpoint) importBlocks(ctx context.Context, t *transfer) (outcome string, blocks int) {
	exported, err := e.requestExport(ctx, t)
	if err != nil {
		e.log.Debug("export not received from donor", "donor", t.donor.Target.Endpoint, "error", err)
		return importDonorLost, 0
	}
	if reason := t.refusalReason(exported); reason != "" {
		return reason, 0
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

func (e *Endpoint) requestExport(ctx context.Context, t *transfer) (*protocol.Exported, error) {
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
		return nil, errUnexpectedReply
	}
	return exported, nil
}

var errUnexpectedReply = errors.New("endpoint: unexpected reply to an export request")

// refusalReason returns why an answer must not be imported, "" if it may be.
//
// The donor's engine may have crashed, its process restarted or its weights changed
// since the decision. The answer then has blocks that the owner didn't decide on: an
// engine that doesn't check would serve them as this prompt's.
func (t *transfer) refusalReason(x *protocol.Exported) string {
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

// onExport sends blocks of the engine to a peer that imports them.
func (e *Endpoint) onExport(s *wire.Session, ref uint32, m *protocol.Export) {
	if refusal := e.exportRefusal(m); refusal != "" {
		e.reply(s, ref, &protocol.Exported{Refusal: refusal, Epoch: e.tel.Epoch})
		return
	}
	e.transfers.exports++
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), e.settings.Endpoint.TransferWait.D())
		defer stop()
		x := e.export(ctx, m)
		e.loop.postUnbounded(func() {
			e.transfers.exports--
			e.reply(s, ref, x)
		})
	}()
}

func (e *Endpoint) exportRefusal(m *protocol.Export) protocol.ExportRefusal {
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

// export reads blocks from the engine. The watch's knowledge of the engine is as old
// as the last load report; the answer itself names the incarnation and weights at the
// time of the export.
func (e *Endpoint) export(ctx context.Context, m *protocol.Export) *protocol.Exported {
	kv, err := e.engine.ExportKV(ctx, m.Hashes)
	x := &protocol.Exported{Epoch: e.tel.Epoch, Incarnation: kv.Incarnation, Version: kv.Weights, Hashes: kv.Hashes, Blob: kv.Blob}
	switch {
	case err != nil:
		e.log.Debug("engine did not export blocks", "error", err)
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
