package direct

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"skylarklead/internal/admit"
	"skylarklead/internal/attempt"
	"skylarklead/internal/fleet"
	"skylarklead/internal/member"
	"skylarklead/internal/origin"
	"skylarklead/internal/ratelimit"
	"skylarklead/internal/rollout"
	"skylarklead/internal/route"
	"skylarklead/internal/runcopy"
)

// configuration is the configuration in force; appliedAt is when it was put in force.
type configuration struct {
	*fleet.Configuration
	appliedAt time.Duration
}

// runsModel reports whether a service is configured to run a model. A replica's record may name
// a service that nobody has configured; the replica gets no orders.
func (c *configuration) runsModel(service, model string) bool {
	if c == nil {
		return false
	}
	s := c.Services[service]
	return s != nil && s.Engine != nil && slices.Contains(s.Engine.Models, model)
}

// state is what the entry knows of replicas, weights and other entries. config, listReadAt
// and listReader are read without a lock; mu guards the rest.
type state struct {
	config atomic.Pointer[configuration]
	// listReadAt is the time as of which the replica list is known: when the call was made
	// that returned it, a time.Duration on the entry's clock. listReader is the entry that
	// made the call.
	listReadAt atomic.Int64
	listReader atomic.Pointer[string]

	mu       stateLock
	replicas *member.Replicas
	// outage tracks outages of the store as the reader of the replica list sees them.
	outage           *member.Outage
	versionTracker   *rollout.VersionTracker            // versions of weights and orders, by replica
	picker           *route.Picker                      // loads, cached prefixes and engine speeds, to choose replicas by
	versionHistories map[string]*rollout.VersionHistory // desired versions of weights, by model
	retryBudgets     map[string]*attempt.Budget         // by service
	crashes          *attempt.CrashTracker              // crash counts of requests and parts of prompts
	crashNews        *crashNews                         // what other entries are to be told about them
	queues           map[string]*serviceQueue           // by service
	backups          *runcopy.Ledger                    // memory that this entry's backups take, by replica
	durations        map[string]*admit.Durations        // of requests that may run once, by route
	// backupTargets is the buffer of backupCandidates.
	backupTargets []runcopy.Candidate
	rateLimits    *ratelimit.Limits
	// leavingToSend is, for each replica that announced to this entry that it leaves, how many
	// more times the other entries are to be notified.
	leavingToSend map[string]int
	// uses says at which software versions streams may begin.
	uses *origin.Ledger
	// storeDown is set while the store doesn't answer this entry, and read without a lock.
	storeDown atomic.Bool
	// listRead is set once the whole replica list has been read.
	listRead bool
	// listRestoredAt is when the list was last read from a store that had been restored from an
	// older copy; 0 for never.
	listRestoredAt time.Duration
	// changed is closed and replaced when more replicas may be usable or the configuration
	// changes.
	changed chan struct{}
	// announcements say when versions of weights were announced, by any entry. They are kept
	// as long as the process runs: a few a day for each model.
	announcements map[modelVersion]*rollout.Announcement
	// announcementsRead are those read since the store's present era began.
	announcementsRead map[modelVersion]bool
	// onNewEngineService is called once for each service with engines, at its first request.
	onNewEngineService func(service string)
	// retryBudget is what all entries together may send a second time to a service; each
	// entry takes its share.
	retryBudget attempt.BudgetParams
	// refuseByForecast says that requests whose turn would come too late are refused before their
	// time is over.
	refuseByForecast bool
	// restarted is set if another process of this entry ran before, so that its share of the retry budget may
	// be spent.
	restarted bool
	// entries is the number of entries, this one included; assumedEntries until the list of
	// entries was read.
	entries int
}

// assumedEntries is the number of entries assumed while the list of them is unknown: slightly above
// the largest fleet that is supported, so that the shares of all entries don't exceed the retry
// budget.
const assumedEntries = 512

func newState(self string, budget attempt.BudgetParams) *state {
	return &state{
		entries:          assumedEntries,
		replicas:         member.NewReplicas(member.DefaultReplicaParams),
		outage:           member.NewOutage(outageParams),
		versionTracker:   rollout.NewVersionTracker(),
		picker:           route.NewPicker(route.DefaultPickerParams, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		versionHistories: make(map[string]*rollout.VersionHistory),
		retryBudgets:     make(map[string]*attempt.Budget),
		crashes:          attempt.NewCrashTracker(attempt.DefaultCrashTrackerParams, hashFields(self).Sum64()),
		crashNews:        newCrashNews(),
		queues:           make(map[string]*serviceQueue),
		durations:        make(map[string]*admit.Durations),
		backups:          runcopy.NewLedger(),
		rateLimits:       ratelimit.New(self, ratelimit.DefaultParams),
		changed:          make(chan struct{}),
		retryBudget:      budget,
		announcements:    make(map[modelVersion]*rollout.Announcement),

		uses:               origin.NewLedger(origin.DefaultLifetime, 0),
		leavingToSend:      make(map[string]int),
		announcementsRead:  make(map[modelVersion]bool),
		onNewEngineService: func(string) {},
	}
}

// replicaListReader is the entry that read the replica list in force; "" for this one if every
// entry reads the store for itself.
func (s *state) replicaListReader() string {
	if from := s.listReader.Load(); from != nil {
		return *from
	}
	return ""
}

// restoreGraceEnd is the time until which a replica may be missing from the list because the store
// was restored from an older copy: replicas write their records again. 0 for none. The caller holds
// mu.
func (s *state) restoreGraceEnd() time.Duration {
	if s.listRestoredAt == 0 {
		return 0
	}
	return s.listRestoredAt + recoveryGrace
}

// notifyChanged closes changed. The caller holds mu.
func (s *state) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// retryBudgetOf returns a service's retry budget. The caller holds mu.
func (s *state) retryBudgetOf(service string) *attempt.Budget {
	b := s.retryBudgets[service]
	if b == nil {
		b = attempt.NewBudget(s.retryBudgetShare())
		if s.restarted {
			b.Empty()
		}
		s.retryBudgets[service] = b
	}
	return b
}

// retryBudgetShare is this entry's share of the retry budget. The burst, which doesn't depend on
// traffic, is divided by the number of entries; the share per request needs no division, as each
// entry counts its own requests. The caller holds mu.
func (s *state) retryBudgetShare() attempt.BudgetParams {
	p := s.retryBudget
	p.Burst = max(1, p.Burst/float64(s.entries))
	return p
}

// setRetryBudget applies a changed retry budget.
func (s *state) setRetryBudget(p attempt.BudgetParams) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget = p
	s.resizeRetryBudgets()
}

// setRestarted empties the retry budgets, those of services yet to be used too.
func (s *state) setRestarted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.restarted {
		return
	}
	s.restarted = true
	for _, b := range s.retryBudgets {
		b.Empty()
	}
}

// setEntryCount sets the number of entries. Entries that are gone but still listed count, which only
// makes the shares smaller.
func (s *state) setEntryCount(entries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = entries
	s.resizeRetryBudgets()
}

// entryCount is the number of entries, this one included.
func (s *state) entryCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries
}

// resizeRetryBudgets applies this entry's share to all services' budgets. The caller holds mu.
func (s *state) resizeRetryBudgets() {
	own := s.retryBudgetShare()
	for _, b := range s.retryBudgets {
		b.Resize(own.Share, own.Burst, own.CarryOver)
	}
}

// listKnown reports whether the whole replica list has been read.
func (s *state) listKnown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listRead
}

// ready reports whether requests can be served: the configuration and the replica list are known.
func (s *state) ready() bool {
	if s.config.Load() == nil {
		return false
	}
	return s.listKnown()
}

// sampleSize is how many of n candidates a choice considers. It shrinks with the number of entries,
// which choose at the same time from equally old loads and would all pick the same replica. The
// caller holds mu.
func (s *state) sampleSize(n int) int {
	return max(minSample, sampleFactor*n/(s.entries+1))
}

const (
	// sampleFactor is about how many entries consider each replica at a time; minSample
	// leaves every choice alternatives.
	sampleFactor = 3
	minSample    = 3
)

// forgetReplica drops what is known of a replica that is gone. The caller holds mu.
func (s *state) forgetReplica(id string) {
	s.versionTracker.Forget(id)
	s.picker.RemoveReplica(id)
	s.rateLimits.Forget(id)
	s.backups.Forget(id)
}

// desiredVersion is the version of a model's weights to use; 0 if none was announced. The caller
// holds mu.
func (s *state) desiredVersion(model string) uint64 {
	if history := s.versionHistories[model]; history != nil {
		return history.Newest()
	}
	return 0
}

// exclusions counts a service's replicas that could not take a request, by reason. It is logged
// with refusals.
type exclusions struct {
	listed int
	// leaving are draining or gone, down unreachable or just refused something, ordered
	// about to load weights, overdue on weights that may no longer be used. otherModel don't
	// list the requested model. limited have no room in this entry's share of their rate
	// limit; backingOff asked for no requests for a time.
	// otherSoftware don't run the software that began the stream, unrecorded run one that isn't in the
	// store yet.
	leaving, down, ordered, overdue, otherModel, limited, backingOff, otherSoftware, unrecorded int
	// overBound is how many of those that were looked at have a longer wait than the request
	// may have there or no memory for it, leastWaitMs the shortest of these waits.
	overBound   int
	leastWaitMs float64
}

// candidates lists the replicas of a service that may take a request for a model ("" for plain
// services) and run the required software, with stale ones marked. The caller holds mu.
func (s *state) candidates(service *fleet.Service, model string, required requiredSoftware, now time.Duration) ([]route.PickCandidate, exclusions) {
	var out []route.PickCandidate
	var excluded exclusions
	var oldest uint64
	if history := s.versionHistories[model]; history != nil {
		oldest = history.OldestAllowed(now)
	}
	for _, id := range s.replicas.IDs() {
		r := s.replicas.Get(id)
		if r.Service != service.Name {
			continue
		}
		excluded.listed++
		if !required.meets(r) {
			excluded.otherSoftware++
			continue
		}
		health := s.replicas.Health(id, now)
		switch health {
		case member.Left:
			excluded.leaving++
			continue
		case member.Down:
			if now < s.replicas.BackoffUntil(id) {
				excluded.backingOff++
			} else {
				excluded.down++
			}
			continue
		}
		if !s.rateLimits.Allows(id, now) {
			excluded.limited++
			continue
		}
		c := route.PickCandidate{
			ID: id, FailureDomain: r.FailureDomain, Slots: r.Slots,
			Engine: service.Engine != nil, RecentFaults: health == member.Degraded,
		}
		if service.Engine != nil {
			c.MemoryTokens = service.Engine.MemoryTokens
		}
		if model != "" {
			if _, runs := r.Weights[model]; !runs {
				excluded.otherModel++
				continue
			}
			if s.versionTracker.Ordered(id, model, now) {
				excluded.ordered++
				continue
			}
			c.Version = s.versionTracker.Version(id, model)
			c.RolloutIn, c.RolloutPlanned = s.versionTracker.TimeToSlot(id, model, now)
			if c.Version < oldest {
				excluded.overdue++
				continue
			}
		}
		if required.recorded && !s.mayBegin(r, model) {
			excluded.unrecorded++
			continue
		}
		out = append(out, c)
	}
	return out, excluded
}

// rolloutStates lists the replicas of a model for its rollout. The caller holds mu.
func (s *state) rolloutStates(model string, now time.Duration) []rollout.State {
	var out []rollout.State
	config := s.config.Load()
	for _, id := range s.replicas.IDs() {
		r := s.replicas.Get(id)
		if _, serves := r.Weights[model]; !serves || s.replicas.Draining(id) || !config.runsModel(r.Service, model) {
			continue
		}
		timeToSlot, hasSlot := s.versionTracker.TimeToSlot(id, model, now)
		out = append(out, rollout.State{
			TimeToSlot: timeToSlot, HasSlot: hasSlot,
			Replica:        r,
			Version:        s.versionTracker.Version(id, model),
			AcceptedOrders: s.versionTracker.AcceptedOrders(id, model),
			Reachable:      s.replicas.Health(id, now) != member.Down,
			Running:        s.picker.Running(id),
		})
	}
	return out
}
