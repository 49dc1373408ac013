package test

import (
	"math/rand/v2"
	"testing"
	"time"

	"skylarklead/internal/prefix"
	"skylarklead/internal/protocol"
	"skylarklead/internal/settings"
	"skylarklead/test/harness"
)

// transferring switches imports on, with bounds that a busy machine keeps.
func transferring(s *settings.Settings) {
	if s.Endpoint != nil {
		s.Endpoint.TransferTokensPerSecond = 200_000
		s.Endpoint.TransferWait = settings.Duration(20 * time.Second)
		s.Endpoint.PrefillTokensPerSecond = 100
	}
}

// importer plays an entry before a donor and an executor, so that the test decides
// what happens between a decision and the export.
type importer struct {
	t               *testing.T
	c               *harness.Cluster
	donor, executor *harness.Node
}

// sharedPrompt is a request with instructions of its own.
type sharedPrompt struct {
	organisation, version string
	instructions          []string
}

func (x sharedPrompt) prompt() (messages []prefix.Message) {
	for _, text := range x.instructions {
		messages = append(messages, prefix.Message{Role: "system", Content: text})
	}
	return append(messages, prefix.Message{Role: "user", Content: "Do the ledgers reconcile?"})
}

func (x sharedPrompt) levels() []prefix.Level {
	salt := prefix.Salt{Organisation: x.organisation, Model: harness.Model, Weights: x.version}
	return prefix.Levels(salt.Root(), x.prompt())
}

// run has a node run the request, with a donor or without, and returns its End.
func (i *importer) run(n *harness.Node, x sharedPrompt, donor *protocol.Donor) *protocol.End {
	i.t.Helper()
	var id protocol.AttemptID
	for b := range id {
		id[b] = byte(rand.Uint32())
	}
	end := i.c.Dial(n).Run(&protocol.Run{
		Attempt: id, Request: id.String(), Organisation: x.organisation, Group: harness.Group, Model: harness.Model,
		Version: x.version, Messages: x.prompt(), Levels: x.levels(), PromptTokens: prefix.EstimateTokens(x.prompt()),
		MaxTokens: 2, Window: 100, Donor: donor,
	})
	if end == nil || end.Outcome != protocol.Done {
		i.t.Fatalf("%s at %s: %+v", x.organisation, n.ID, end)
	}
	return end
}

// decided names the donor as an owner would now.
func (i *importer) decided(x sharedPrompt) *protocol.Donor {
	peer := i.c.Dial(i.donor).Peer()
	return &protocol.Donor{
		Target:      protocol.Target{Endpoint: i.donor.ID, Address: i.donor.Settings.Advertise, Epoch: peer.Epoch},
		Incarnation: i.c.Account(i.donor.Backend).Incarnation,
		Version:     x.version,
		Level:       x.levels()[0],
	}
}

// Symptom: a request is answered from blocks that the owner never decided on: of
// an engine or process that came after the one it named, of other weights, of
// another organisation.
// Sequence: an owner names a donor; before the executor asks for the blocks the
// donor's engine crashes, comes back and holds the prefix again, or its process is
// restarted, or the weights change; or the decision is another organisation's.
// Cause: an import that goes by the donor's name alone.
func TestPromise1ImportIsOfWhatWasDecided(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, harness.Options{Engines: 2, Settings: transferring, PlatformArgs: []string{"--weights", "100ms"}})
	i := &importer{t: t, c: c, donor: c.Endpoints[0], executor: c.Endpoints[1]}
	foodbank := func(version, subject string) sharedPrompt {
		return sharedPrompt{harness.Foodbank.ID, version, harness.NewOrganisation("", subject).Instructions}
	}
	hospice := foodbank("v1", "four")
	hospice.organisation = harness.Hospice.ID
	tests := []struct {
		name, outcome string
		asked, held   sharedPrompt
		// between comes after the decision, whose prefix the donor then holds again.
		between func()
	}{
		{"nothing changed", "imported", foodbank("v1", "one"), foodbank("v1", "one"), func() {}},
		{"engine crashed", "other_incarnation", foodbank("v1", "two"), foodbank("v1", "two"), i.crashDonor},
		{"process restarted", "other_epoch", foodbank("v1", "three"), foodbank("v1", "three"), i.restartDonor},
		{"another organisation", "other_prompt", hospice, foodbank("v1", "four"), func() {}},
		{"weights changed", "other_prompt", foodbank("v2", "five"), foodbank("v1", "five"), i.changeWeights},
	}
	for _, test := range tests {
		i.run(i.donor, test.held, nil)
		donor := i.decided(test.held)
		test.between()
		again := test.held
		again.version = test.asked.version
		i.run(i.donor, again, nil)
		before := i.executor.CountLog("decision", "kind", "import", "reason", test.outcome)
		end := i.run(i.executor, test.asked, donor)
		if imported := end.CachedTokens > 0; imported != (test.outcome == "imported") {
			t.Errorf("%s: %d tokens were cached", test.name, end.CachedTokens)
		}
		harness.Await(t, test.name+" to be logged as "+test.outcome, func() bool {
			return i.executor.CountLog("decision", "kind", "import", "reason", test.outcome) > before
		})
	}
	// The donor's own check: an export that names weights which it has no more.
	old := i.decided(foodbank("v1", "five"))
	reply, err := c.Dial(i.donor).Call(t.Context(), &protocol.Export{
		Epoch: old.Target.Epoch, Incarnation: old.Incarnation, Version: old.Version, Hashes: []prefix.Hash{old.Level.Hash},
	})
	if x, ok := reply.(*protocol.Exported); !ok || x.Refusal != protocol.ExportOtherWeights {
		t.Errorf("export of older weights: %+v, %v", reply, err)
	}
	if totals := c.Account(i.executor.Backend).Totals; totals.ForeignHits != 0 {
		t.Errorf("%d cached tokens of other weights or organisations", totals.ForeignHits)
	}
}

func (i *importer) crashDonor() {
	ups := i.donor.CountLog("engine up")
	i.c.Crash(i.donor.Backend)
	harness.Await(i.t, "the new incarnation to be noticed", func() bool { return i.donor.CountLog("engine up") > ups })
}

func (i *importer) restartDonor() {
	i.donor.Kill()
	i.donor.Restart()
	i.c.AwaitReady(i.donor)
}

func (i *importer) changeWeights() {
	i.c.Publish(harness.ModelRecord(i.c.Revisions[harness.Model], "v2"))
	for _, n := range i.c.Endpoints {
		harness.Await(i.t, n.ID+" to know of the new weights", func() bool {
			status := i.c.Status(n)
			return status != nil && status.Load.EngineUp && status.Load.Version == "v2"
		})
	}
}

// The whole path: an endpoint that is drained gives its prefixes to the one that
// takes over.
func TestPromise1LeavingHolderIsADonor(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, harness.Options{Engines: 2, Entries: 1, Settings: transferring})
	i := &importer{t: t, c: c, donor: c.Endpoints[0], executor: c.Endpoints[1]}
	// Without an owner's decision, so that what owners know is the endpoint's word.
	i.run(i.donor, sharedPrompt{harness.Foodbank.ID, "v1", harness.Foodbank.Instructions}, nil)
	if r := c.Ctl("drain", i.donor.ID); r.Code != 0 {
		t.Fatalf("drain: %+v", r)
	}
	harness.Await(t, "the owner to hear what the leaving endpoint holds", func() bool {
		seen := i.seen(sharedPrompt{harness.Foodbank.ID, "v1", harness.Foodbank.Instructions})
		return seen.Excluded != excludedByAsk && seen.CachedTokens > 0
	})
	a := mustAnswer(t, c, harness.Foodbank, "after")
	account := c.Account(i.executor.Backend)
	if got := account.Totals.HitsByOrigin[c.Account(i.donor.Backend).Incarnation]; c.EndpointOf(a) != i.executor || got == 0 {
		t.Errorf("%s had %d tokens of %s in its cache", a.Executor, got, i.donor.ID)
	}
	// Lines reach the log up to a flush after what they tell; a process that has ended
	// has written all of them.
	i.executor.Terminate()
	i.executor.AwaitEnd()
	imports := i.executor.CountLog("decision", "kind", "import", "reason", "imported", "donor", i.donor.ID)
	if account.Totals.ForeignHits != 0 || imports != 1 {
		t.Errorf("%d imports, %d foreign hits", imports, account.Totals.ForeignHits)
	}
}

// excludedByAsk is why an endpoint that takes new work is left out by seen.
const excludedByAsk = "already_failed"

// seen returns what the executor, as an owner, believes of the donor. The question
// excludes both, so that it places nothing.
func (i *importer) seen(x sharedPrompt) protocol.Candidate {
	i.t.Helper()
	reply, err := i.c.Dial(i.executor).Call(i.t.Context(), &protocol.Ask{
		Request: "seen", Organisation: x.organisation, Group: harness.Group, Model: harness.Model,
		Version: x.version, Levels: x.levels(), PromptTokens: prefix.EstimateTokens(x.prompt()),
		Exclude: []string{i.donor.ID, i.executor.ID}, Explain: true,
	})
	decision, ok := reply.(*protocol.Decision)
	if !ok {
		i.t.Fatalf("%T, %v", reply, err)
	}
	for _, candidate := range decision.Candidates {
		if candidate.Endpoint == i.donor.ID {
			return candidate
		}
	}
	return protocol.Candidate{Excluded: excludedByAsk}
}
