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

// enableTransfers enables imports, with time limits that a busy machine can meet.
func enableTransfers(s *settings.Settings) {
	if s.Endpoint != nil {
		s.Endpoint.TransferTokensPerSecond = 200_000
		s.Endpoint.TransferWait = settings.Duration(20 * time.Second)
		s.Endpoint.PrefillTokensPerSecond = 100
	}
}

// importer acts as the entry for a donor and an executor, so that the test controls
// what happens between a routing decision and the export.
type importer struct {
	t               *testing.T
	c               *harness.Cluster
	donor, executor *harness.Node
}

// sharedPrompt is a request's prompt, with the organisation and weights version that
// salt its cache entries.
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

// run makes n run the request, with a donor unless it is nil, and returns its End.
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

// donorDecision returns the donor as an owner would name it in a decision now.
func (i *importer) donorDecision(x sharedPrompt) *protocol.Donor {
	peer := i.c.Dial(i.donor).Peer()
	return &protocol.Donor{
		Target:      protocol.Target{Endpoint: i.donor.ID, Address: i.donor.Settings.Advertise, Epoch: peer.Epoch},
		Incarnation: i.c.Account(i.donor.Backend).Incarnation,
		Version:     x.version,
		Level:       x.levels()[0],
	}
}

// An owner's decision names a donor. Before the executor requests the blocks, the
// donor's engine crashes and holds the prefix again, or its process restarts, or the
// weights change; or the decision belongs to another organisation. An import must
// identify the blocks by more than the donor's name: by engine incarnation, process
// epoch, weights and organisation.
func TestPromise1ImportIsOfWhatWasDecided(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, harness.Options{Engines: 2, Settings: enableTransfers, PlatformArgs: []string{"--weights", "100ms"}})
	i := &importer{t: t, c: c, donor: c.Endpoints[0], executor: c.Endpoints[1]}
	foodbank := func(version, subject string) sharedPrompt {
		return sharedPrompt{harness.Foodbank.ID, version, harness.NewOrganisation("", subject).Instructions}
	}
	hospice := foodbank("v1", "four")
	hospice.organisation = harness.Hospice.ID
	tests := []struct {
		name, outcome string
		asked, held   sharedPrompt
		// between is called after the decision; then the donor runs the prompt again, so
		// that it holds the prefix.
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
		donor := i.donorDecision(test.held)
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
	// The donor itself refuses an export for weights that it no longer has loaded.
	old := i.donorDecision(foodbank("v1", "five"))
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
		harness.Await(i.t, n.ID+" to report the new weights", func() bool {
			status := i.c.Status(n)
			return status != nil && status.Load.EngineUp && status.Load.Version == "v2"
		})
	}
}

// An endpoint that is being drained serves as a donor of its prefixes to the endpoint
// that takes over, on the path from drain command to answer.
func TestPromise1LeavingHolderIsADonor(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, harness.Options{Engines: 2, Entries: 1, Settings: enableTransfers})
	i := &importer{t: t, c: c, donor: c.Endpoints[0], executor: c.Endpoints[1]}
	// Not routed by an owner, so that owners know the prefix only from the endpoint's
	// advertisement.
	i.run(i.donor, sharedPrompt{harness.Foodbank.ID, "v1", harness.Foodbank.Instructions}, nil)
	if r := c.Ctl("drain", i.donor.ID); r.Code != 0 {
		t.Fatalf("drain: %+v", r)
	}
	harness.Await(t, "the owner to know what the leaving endpoint holds", func() bool {
		seen := i.candidateSeen(sharedPrompt{harness.Foodbank.ID, "v1", harness.Foodbank.Instructions})
		return seen.Excluded != excludedByRequest && seen.CachedTokens > 0
	})
	a := mustAnswer(t, c, harness.Foodbank, "after")
	account := c.Account(i.executor.Backend)
	if got := account.Totals.HitsByOrigin[c.Account(i.donor.Backend).Incarnation]; c.EndpointOf(a) != i.executor || got == 0 {
		t.Errorf("%s ran the request with %d imported tokens of %s in cache", a.Executor, got, i.donor.ID)
	}
	// Log lines are buffered and may be written late; a process that has ended has
	// written all of them.
	i.executor.Terminate()
	i.executor.AwaitEnd()
	imports := i.executor.CountLog("decision", "kind", "import", "reason", "imported", "donor", i.donor.ID)
	if account.Totals.ForeignHits != 0 || imports != 1 {
		t.Errorf("%d imports, %d foreign hits", imports, account.Totals.ForeignHits)
	}
}

// excludedByRequest is the reason by which candidateSeen's request excludes an
// endpoint that accepts new work.
const excludedByRequest = "already_failed"

// candidateSeen returns the donor as a candidate in a decision of the executor, which
// acts as owner. The request excludes both, so that nothing is routed.
func (i *importer) candidateSeen(x sharedPrompt) protocol.Candidate {
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
	return protocol.Candidate{Excluded: excludedByRequest}
}
