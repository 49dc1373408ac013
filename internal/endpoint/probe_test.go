package endpoint

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"skylarklead/internal/platform"
	"skylarklead/internal/protocol"
	"skylarklead/internal/settings"
	standin "skylarklead/internal/standin/platform"
	"skylarklead/internal/wire"
	"skylarklead/test/kit"
)

// unresponsivePeer accepts sessions and messages and never answers, which is how a
// stopped process looks from outside.
type unresponsivePeer struct{}

func (unresponsivePeer) Handle(*wire.Session, uint32, protocol.Message) {}
func (unresponsivePeer) Closed(*wire.Session, error)                    {}

// Guards against requests that are sent to a stopped process for seconds, each of which
// waits until its entry gives up. A peer is stopped right after a heartbeat; an entry
// gives up on it and asks the owner again, with the peer as failed. Other entries that
// ask must not wait for SuspectAfter until the peer is out.
func TestStoppedPeerIsOutAfterItsFirstFailure(t *testing.T) {
	var listed atomic.Bool
	listed.Store(true)
	checkStoppedPeerIsOut(t, &listed)
}

// Guards against a report that is lost since it came before the list with the peer's address: the peer
// was known by its heartbeats only, and nobody may report it again.
func TestPeerReportedBeforeItIsListedIsProbed(t *testing.T) {
	checkStoppedPeerIsOut(t, &atomic.Bool{})
}

// checkStoppedPeerIsOut reports a peer that has stopped, and waits until it gets no requests. The list
// is served once listed is set, at the latest after the report.
func checkStoppedPeerIsOut(t *testing.T, listed *atomic.Bool) {
	t.Helper()
	peer := protocol.Identity{ID: "ep-2", Role: protocol.RoleEndpoint, Epoch: 7, Group: "g"}
	options := wire.Options{Key: fleetKey, Self: func() protocol.Identity { return peer }, Handler: unresponsivePeer{}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { wire.Accept(w, r, options) }))
	t.Cleanup(server.Close)
	list := []platform.Instance{{
		ID: "ep-2", Role: platform.RoleEndpoint, Address: server.Listener.(*net.TCPListener).Addr().String(),
		FailureDomain: "d1", Group: "g", State: platform.StateLive,
	}}
	f := newFakeEngine(t, "a")
	p := startProcess(t, f.URL, func(s *settings.Settings) {
		instances := standin.New(standin.Options{Control: standin.DefaultControl(), Instances: list})
		gate := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !listed.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			instances.ServeHTTP(w, r)
		}))
		t.Cleanup(gate.Close)
		s.Platform.Instances = gate.URL
		s.Endpoint.SuspectAfter = settings.Duration(time.Hour)
	})
	session := kit.Must(wire.Dial(context.Background(), p.address, options))(t)
	load := protocol.Load{EngineUp: true, Model: "m", Version: "v1", Incarnation: "i1"}
	kit.OK(t, session.Send(&protocol.Heartbeat{ID: peer.ID, Epoch: peer.Epoch, Seq: 1, Load: load}))
	n := p.dial("entry-1")
	excluded := func(m *protocol.Ask) string {
		for _, c := range n.decision(m).Candidates {
			if c.Endpoint == peer.ID {
				return c.Excluded
			}
		}
		return "unknown"
	}
	kit.Until(t, "the peer to be usable", func() bool { return excluded(ask(1)) == "" })
	again := ask(2)
	again.Exclude = []string{peer.ID}
	n.call(again)
	listed.Store(true)
	kit.Until(t, "the peer to be out for others", func() bool { return excluded(ask(3)) == "dead" })
}
