package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarklead/internal/prefix"
	"skylarklead/internal/protocol"
)

// fleet is a group whose endpoints change while the router runs.
type fleet struct {
	router    *Router
	rng       *rand.Rand
	endpoints []Endpoint
	now       time.Duration
	held      map[string]map[prefix.Hash]bool // what each live engine may hold
}

func newFleet(n int, p Params) *fleet {
	f := &fleet{router: NewRouter(p), rng: newRand(), endpoints: group(n), held: map[string]map[prefix.Hash]bool{}}
	for i := range f.endpoints {
		f.held[f.endpoints[i].ID] = map[prefix.Hash]bool{}
	}
	return f
}

// forget empties an endpoint's cache, as a crash or a restart does.
func (f *fleet) clearCache(i int) { f.held[f.endpoints[i].ID] = map[prefix.Hash]bool{} }

func drawQuery(t *rapid.T) *Query {
	organisation := rapid.IntRange(1, 3).Draw(t, "organisation")
	document := rapid.IntRange(0, 5).Draw(t, "charter")
	q := &Query{Ask: protocol.Ask{
		Organisation: fmt.Sprint("o", organisation),
		Model:        "m",
		Version:      "v1",
		PromptTokens: 5000,
		MaxTokens:    rapid.IntRange(1, 400).Draw(t, "max"),
		Levels: []prefix.Level{
			{Hash: prefix.Hash(organisation), Tokens: 2000},
			{Hash: prefix.Hash(organisation*100 + document), Tokens: 4000},
			{Hash: prefix.Hash(organisation*10000 + document*100 + rapid.IntRange(0, 20).Draw(t, "case")), Tokens: 4500},
		},
	}}
	q.Levels = q.Levels[:rapid.IntRange(0, 3).Draw(t, "levels")]
	return q
}

// checkTable compares the table's LRU list and cache shares with its nodes.
func checkTable(t *rapid.T, table *Table) {
	shares := map[shareKey]int{}
	count, last := 0, none
	for n := table.newest; n != none; n = table.nodes[n].next {
		node := &table.nodes[n]
		if node.prev != last || table.index[node.hash] != n {
			t.Fatal("the list of nodes is broken")
		}
		last = n
		count++
		for h := node.holders; h != none; h = table.holders[h].next {
			own := int(table.holders[h].tokens - node.parentTokens)
			if own > 0 {
				shares[shareKey{node.organisation, table.holders[h].slot}] += own
			}
		}
	}
	if count != len(table.index) || count > table.params.MaxLevels || last != table.oldest {
		t.Fatalf("%d nodes listed, %d indexed, bound %d", count, len(table.index), table.params.MaxLevels)
	}
	if len(shares) != len(table.shares) {
		t.Fatalf("shares %v, want %v", table.shares, shares)
	}
	for k, v := range shares {
		if table.shares[k] != v {
			t.Fatalf("share of %v is %d, want %d", k, table.shares[k], v)
		}
	}
}

func TestRouterUnderChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 6).Draw(t, "endpoints"), Params{
			MaxLevels:               rapid.IntRange(4, 60).Draw(t, "nodes"),
			TransferTokensPerSecond: rapid.SampledFrom([]float64{0, 200000}).Draw(t, "transfer"),
		})
		index := rapid.IntRange(0, len(f.endpoints)-1)
		var last *Query
		var executor string
		t.Repeat(map[string]func(*rapid.T){
			"decide": func(t *rapid.T) {
				last = drawQuery(t)
				executor = f.decide(t, last)
			},
			"finish": func(t *rapid.T) {
				if executor == "" {
					return
				}
				epoch := f.endpoints[slices.IndexFunc(f.endpoints, func(e Endpoint) bool { return e.ID == executor })].Epoch
				epoch += protocol.Epoch(rapid.IntRange(0, 1).Draw(t, "stale"))
				f.router.RequestFinished(f.now, Outcome{Endpoint: executor, Epoch: epoch, Organisation: last.Organisation,
					Levels: last.Levels, PromptTokens: last.PromptTokens, Ran: true})
				executor = ""
			},
			"advertise": func(t *rapid.T) { f.advertise(t, index.Draw(t, "endpoint")) },
			"crash": func(t *rapid.T) {
				i := index.Draw(t, "endpoint")
				f.endpoints[i].Load.Incarnation += "x"
				f.clearCache(i)
				executor = ""
			},
			"restart": func(t *rapid.T) {
				i := index.Draw(t, "endpoint")
				f.endpoints[i].Epoch += 100
				f.clearCache(i)
				executor = ""
			},
			"gone": func(t *rapid.T) {
				i := index.Draw(t, "endpoint")
				f.router.RemoveEndpoint(f.endpoints[i].ID)
				f.clearCache(i)
				executor = ""
			},
			"flip": func(t *rapid.T) {
				e := &f.endpoints[index.Draw(t, "endpoint")]
				switch rapid.IntRange(0, 2).Draw(t, "what") {
				case 0:
					e.Alive = !e.Alive
				case 1:
					e.Leaving = !e.Leaving
				case 2:
					e.Load.EngineUp = !e.Load.EngineUp
				}
			},
			"wait": func(t *rapid.T) { f.now += time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond },
			"":     func(t *rapid.T) { checkTable(t, f.router.table) },
		})
	})
}

// decide checks that the executor can run q and that no tokens are predicted at an engine that
// has lost them.
func (f *fleet) decide(t *rapid.T, q *Query) string {
	got := f.router.Decide(f.now, f.rng, q, f.endpoints)
	runnable := usableEndpoints(q, f.endpoints)
	if got.Refusal != nil {
		if len(runnable) > 0 {
			t.Fatalf("refused although %d could run it: %+v", len(runnable), got.Refusal)
		}
		return ""
	}
	if !slices.Contains(endpointIDs(runnable), got.Executor) || got.Candidates[0].Endpoint != got.Executor {
		t.Fatalf("executor %s, candidates %+v", got.Executor, got.Candidates)
	}
	if got.PredictedCached > q.PromptTokens {
		t.Fatalf("predicted %d of %d tokens", got.PredictedCached, q.PromptTokens)
	}
	for _, l := range q.Levels {
		for i := range f.endpoints {
			id := f.endpoints[i].ID
			if id != got.Executor && f.router.Table().CachedTokens(f.now, id, l.Hash) > 0 && !f.held[id][l.Hash] {
				t.Fatalf("%s is expected to hold a block that its engine never had", id)
			}
		}
		if got.PredictedCached == l.Tokens && !f.held[got.Executor][l.Hash] {
			t.Fatalf("predicted %d tokens that %s never had", l.Tokens, got.Executor)
		}
	}
	f.checkDonor(t, q, got)
	for _, l := range q.Levels {
		f.held[got.Executor][l.Hash] = true
	}
	return got.Executor
}

func (f *fleet) advertise(t *rapid.T, i int) {
	e := &f.endpoints[i]
	a := Advertisement{Endpoint: e.ID, Epoch: e.Epoch, Incarnation: e.Load.Incarnation, Version: e.Load.Version,
		Full: rapid.Bool().Draw(t, "full")}
	for range rapid.IntRange(0, 4).Draw(t, "residents") {
		hash := prefix.Hash(rapid.IntRange(1, 3).Draw(t, "level")*100 + rapid.IntRange(0, 5).Draw(t, "charter"))
		tokens := rapid.SampledFrom([]int{0, 4000}).Draw(t, "tokens")
		a.Residents = append(a.Residents, protocol.Resident{Hash: hash, Tokens: tokens})
		if tokens > 0 {
			f.held[e.ID][hash] = true
		}
	}
	f.router.ApplyAdvertisement(f.now, a)
}
