package direct

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/peermessage"
	"skylarklead/internal/route"
	"skylarklead/internal/settings"
)

// The longest message must fit in a datagram. A fleet of many replicas under load fills a message
// with loads and placements; if the separate bounds exceed the receiver's buffer together, peers
// lose the message and send to the same replicas.
func TestTheLongestWordFitsADatagram(t *testing.T) {
	m := &peermessage.Loads{Seq: math.MaxUint32, StoreReachable: math.MaxUint32, Drain: &peermessage.Drain{Open: math.MaxUint32, Left: math.MaxUint32}}
	for range maxMessageLoads - maxMessagePlacements*loadsPerPlacement {
		m.Loads = append(m.Loads, peermessage.Load{Replica: math.MaxUint64, PrefillTokens: math.MaxUint32, Running: 200, AddedTokens: math.MaxUint16})
	}
	levels := make([]uint64, maxPlacementLevels)
	for i := range levels {
		levels[i] = math.MaxUint64
	}
	for range maxMessagePlacements {
		m.Placements = append(m.Placements, peermessage.Placement{Levels: levels, Replica: math.MaxUint64, Prefilled: true})
	}
	memory := func() {
		m.MemoryTokens = nil
		for range m.Loads {
			m.MemoryTokens = append(m.MemoryTokens, math.MaxUint16)
		}
	}
	memory()
	checkLength(t, m)
	for range maxMessagePlacements * loadsPerPlacement {
		m.Loads = append(m.Loads, m.Loads[0])
	}
	m.Placements = nil
	memory()
	checkLength(t, m)
}

// Guards against memory in use that other entries take for free, and against messages of entries of
// older builds, which don't tell it.
func TestMemoryInUseReachesOtherEntries(t *testing.T) {
	loads := map[uint64]route.Load{
		1: {PrefillTokens: 9000, Running: 2},
		2: {PrefillTokens: 800, MemoryTokens: 11 * 64, Running: 1},
		3: {PrefillTokens: 100, Running: 1},
	}
	m := &peermessage.Loads{Seq: 1}
	m.SetLoads(loadsToSend(loads, make(map[uint64]uint16), maxMessageLoads), loads)
	_, decoded, err := peermessage.Decode(peermessage.Encode(peermessage.Sender{ID: "entry-1"}, m))
	if err != nil {
		t.Fatal(err)
	}
	got := decoded.(*peermessage.Loads)
	for replica, want := range loads {
		if l := got.ByReplica()[replica]; l != want {
			t.Errorf("replica %d: %+v, want %+v", replica, l, want)
		}
	}
	got.MemoryTokens = nil
	if l := got.ByReplica()[2]; l.PrefillTokens != 800 || l.MemoryTokens != 0 {
		t.Errorf("%+v from an entry of an older build", l)
	}
}

// The longest message with replicas' notices must fit in a datagram.
func TestTheLongestNoticesFitADatagram(t *testing.T) {
	var m peermessage.Notices
	for range maxMessageNotices {
		m = append(m, peermessage.Notice{Replica: strings.Repeat("r", 50), Rate: math.MaxFloat64})
	}
	checkLength(t, m)
}

// Guards against reports of crashes that no entry can read: those of all runs of a busy replica don't fit in one
// datagram.
func TestReportsOfABusyReplicaFitDatagrams(t *testing.T) {
	all := newPeerNodes(t, 2, 1)
	const runs = 64
	var reports []attempt.CrashReport
	for i := range runs {
		reports = append(reports, attempt.CrashReport{
			Fingerprint: math.MaxUint64 - uint64(i), Replica: strings.Repeat("r", 50), Parts: []uint64{math.MaxUint64, math.MaxUint64, math.MaxUint64},
			RanMs: math.MaxUint32, Reporter: math.MaxUint64, AgeMs: math.MaxUint32,
		})
	}
	all[0].peers.sendCrashes(reports)
	buffer := make([]byte, peermessage.MaxBytes)
	for got := 0; got < runs; {
		if err := all[1].peers.conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
			t.Fatal(err)
		}
		n, _, err := all[1].peers.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			t.Fatal(err)
		}
		_, m, err := peermessage.Decode(buffer[:n])
		if err != nil {
			t.Fatalf("after %d reports: %v", got, err)
		}
		got += len(m.(peermessage.Crashes))
	}
}

func checkLength(t *testing.T, m peermessage.Message) {
	t.Helper()
	data := peermessage.Encode(peermessage.Sender{ID: strings.Repeat("x", 24), Epoch: math.MaxUint64}, m)
	if len(data) > peermessage.MaxBytes {
		t.Errorf("%d bytes; the receive buffer has %d", len(data), peermessage.MaxBytes)
	}
}

// Loads of replicas with running requests must be in every message, though not all loads fit in
// one.
func TestAWordTellsOfTheReplicasAtWork(t *testing.T) {
	const (
		replicas = 160
		busy     = 10
	)
	advertisedTokens := make(map[uint64]uint16)
	loads := make(map[uint64]route.Load)
	for id := range uint64(replicas) {
		loads[id] = route.Load{AddedTokens: uint16(id + 1)}
		if id < busy {
			loads[id] = route.Load{Running: 1, PrefillTokens: 4000, AddedTokens: uint16(id + 1)}
		}
	}
	advertised := map[uint64]bool{}
	for messages := 0; messages*maxMessageLoads < replicas+2*maxMessageLoads; messages++ {
		busyAdvertised := 0
		for _, l := range loadsToSend(loads, advertisedTokens, maxMessageLoads) {
			advertised[l.Replica] = true
			if l.Running > 0 {
				busyAdvertised++
			}
		}
		if busyAdvertised != busy {
			t.Fatalf("message %d has loads of %d replicas with running requests out of %d", messages, busyAdvertised, busy)
		}
	}
	if len(advertised) != replicas {
		t.Errorf("counts of %d of %d replicas were advertised", len(advertised), replicas)
	}
	if again := loadsToSend(loads, advertisedTokens, maxMessageLoads); len(again) != busy {
		t.Errorf("a message has %d loads though only %d replicas have running requests or changes", len(again), busy)
	}
}

// Before the list of entries was read, an entry must not take the peers that it received messages
// from for all there are: its share of the retry budget would be too large.
func TestPeersHeardOfAreNotAllThereAre(t *testing.T) {
	s := &settings.Settings{ID: "entry-1", Direct: &settings.Direct{MemoryMB: 16, Peers: "127.0.0.1:0"}}
	e := newEntry(s, quietTelemetry(t), Platform{})
	p, err := newPeers(e)
	if err != nil {
		t.Fatal(err)
	}
	defer p.conn.Close()
	e.peers = p
	for i := range 2 {
		p.markReceived(fmt.Sprint("peer-", i), somePeer)
	}
	if n := e.state.entryCount(); n < assumedEntries {
		t.Errorf("the budget is shared among %d entries before the list of them was read", n)
	}
	close(p.listRead)
	p.applyList()
	if n := e.state.entryCount(); n != 3 {
		t.Errorf("%d entries are counted once the list was read; there are 3", n)
	}
}
