package endpoint

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"skylarklead/internal/engine"
	"skylarklead/internal/prefix"
	"skylarklead/internal/protocol"
	"skylarklead/internal/settings"
	"skylarklead/internal/telemetry"
	"skylarklead/internal/wire"
	"skylarklead/test/kit"
)

// fakeDonor answers each Export with reply's result for a good answer, or not at all if
// that is nil.
type fakeDonor struct {
	reply func(*protocol.Exported) *protocol.Exported
}

func (d fakeDonor) Closed(*wire.Session, error) {}

func (d fakeDonor) Handle(s *wire.Session, ref uint32, m protocol.Message) {
	ask, ok := m.(*protocol.Export)
	if !ok {
		return
	}
	good := &protocol.Exported{Epoch: ask.Epoch, Incarnation: ask.Incarnation, Version: ask.Version, Hashes: ask.Hashes, Blob: []byte("x")}
	if x := d.reply(good); x != nil {
		go s.Reply(ref, x)
	}
}

func startDonor(t *testing.T, d fakeDonor) string {
	t.Helper()
	self := protocol.Identity{ID: "ep-2", Role: protocol.RoleEndpoint, Epoch: 7, Group: "g"}
	options := wire.Options{Key: fleetKey, Self: func() protocol.Identity { return self }, Handler: d}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { wire.Accept(w, r, options) }))
	t.Cleanup(server.Close)
	return server.Listener.(*net.TCPListener).Addr().String()
}

// Guards against a request that hangs on an import, or runs on blocks that the decision
// doesn't cover. The executor asks the donor that the decision names; the donor doesn't
// answer, or answers for another process, engine, weights or prefix; or the executor's
// own weights change before the import.
func TestImportTakesOnlyWhatItAskedFor(t *testing.T) {
	tests := []struct {
		outcome string
		status  int // of the engine's response to the import
		imports int32
		reply   func(*protocol.Exported) *protocol.Exported
	}{
		{importDone, 200, 1, func(x *protocol.Exported) *protocol.Exported { return x }},
		{importDonorLost, 200, 0, func(*protocol.Exported) *protocol.Exported { return nil }},
		{"other_epoch", 200, 0, func(x *protocol.Exported) *protocol.Exported { x.Epoch++; return x }},
		{"other_incarnation", 200, 0, func(x *protocol.Exported) *protocol.Exported { x.Incarnation = "i2"; return x }},
		{"other_weights", 200, 0, func(x *protocol.Exported) *protocol.Exported { x.Version = "v2"; return x }},
		{"other_weights", 409, 1, func(x *protocol.Exported) *protocol.Exported { return x }},
		{importFailed, 500, 1, func(x *protocol.Exported) *protocol.Exported { return x }},
		{"nothing_held", 200, 0, func(x *protocol.Exported) *protocol.Exported { x.Hashes = nil; return x }},
		{importNotAsked, 200, 0, func(x *protocol.Exported) *protocol.Exported { x.Hashes = x.Hashes[1:]; return x }},
		{"busy", 200, 0, func(*protocol.Exported) *protocol.Exported { return &protocol.Exported{Refusal: protocol.ExportBusy} }},
	}
	for _, test := range tests {
		f := newFakeEngine(t, "a")
		var imports atomic.Int32
		mux := http.NewServeMux()
		mux.Handle("/", f.Config.Handler)
		mux.HandleFunc("POST /v1/kv/import", func(w http.ResponseWriter, r *http.Request) {
			imports.Add(1)
			io.Copy(io.Discard, r.Body)
			w.WriteHeader(test.status)
			json.NewEncoder(w).Encode(engine.Imported{Blocks: 2})
		})
		backend := httptest.NewServer(mux)
		t.Cleanup(backend.Close)
		p := startProcess(t, backend.URL, func(s *settings.Settings) {
			s.Endpoint.TransferTokensPerSecond = 200000
			s.Endpoint.TransferWait = settings.Duration(10 * time.Second)
			s.Endpoint.PrefillTokensPerSecond = 10
			if test.outcome == importDonorLost {
				s.Endpoint.TransferWait = settings.Duration(time.Millisecond)
			}
		})
		run := chat(1)
		run.Messages = []prefix.Message{{Role: "system", Content: string(make([]byte, 2*prefix.BlockBytes))}, run.Messages[0]}
		run.Levels = prefix.Levels(prefix.Salt{Organisation: run.Organisation, Model: run.Model, Weights: run.Version}.Root(), run.Messages)
		run.Donor = &protocol.Donor{
			Target:      protocol.Target{Endpoint: "ep-2", Address: startDonor(t, fakeDonor{test.reply}), Epoch: 7},
			Incarnation: "i1", Version: "v1", Level: run.Levels[0],
		}
		n := p.dial("entry-1")
		n.send(run)
		if text, end := n.answer(0); text != "a" || end.Outcome != protocol.Done {
			t.Errorf("%s: %q, %+v", test.outcome, text, end)
		}
		var got string
		kit.Until(t, "the import's decision record", func() bool {
			records := p.tel.Decisions.Explain(run.Request)
			i := slices.IndexFunc(records, func(r protocol.DecisionRecord) bool { return r.Kind == telemetry.KindImport })
			if i >= 0 {
				got = records[i].Reason
			}
			return i >= 0
		})
		if got != test.outcome || imports.Load() != test.imports {
			t.Errorf("%s, want %s; %d imports", got, test.outcome, imports.Load())
		}
		p.stop()
	}
}

// Guards against a donor that sends blocks its decision doesn't cover. Its engine
// crashes or changes weights; an Export for the earlier state arrives before the next
// load report, so the check must use the export's own incarnation and weights.
func TestExportGoesByTheEnginesOwnWord(t *testing.T) {
	asked := &protocol.Export{Incarnation: "i1", Version: "v1", Hashes: []prefix.Hash{1}}
	tests := []struct {
		kv   engine.KV
		want protocol.ExportRefusal
	}{
		{engine.KV{Incarnation: "i1", Weights: "v1", Hashes: engine.Hashes{1}, Blob: []byte("x")}, ""},
		{engine.KV{Incarnation: "i2", Weights: "v1", Hashes: engine.Hashes{1}, Blob: []byte("x")}, protocol.ExportOtherIncarnation},
		{engine.KV{Incarnation: "i1", Weights: "v2", Hashes: engine.Hashes{1}, Blob: []byte("x")}, protocol.ExportOtherWeights},
		{engine.KV{Incarnation: "i1", Weights: "v1", Hashes: engine.Hashes{1}, Blob: make([]byte, protocol.MaxExportBytes+1)}, protocol.ExportTooLarge},
	}
	for _, test := range tests {
		e, log := newTestEndpoint(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body) // closing with an unread body would reset the connection
			json.NewEncoder(w).Encode(test.kv)
		}))
		t.Cleanup(server.Close)
		e.engine = engine.NewClient(server.URL)
		x := e.export(context.Background(), asked)
		if x.Refusal != test.want || (test.want == "") != (len(x.Blob) > 0) {
			t.Errorf("refusal %q with %d bytes, want %q\n%s", x.Refusal, len(x.Blob), test.want, log.take())
		}
	}
}
