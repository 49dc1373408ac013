package direct

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/fleet"
	"skylarklead/internal/member"
	"skylarklead/internal/ratelimit"
	"skylarklead/internal/rollout"
	"skylarklead/internal/route"
)

// configuration is the one in force, with when it was taken.
type configuration struct {
	*fleet.Configuration
	appliedAt time.Duration
}

// runs reports whether the operator has a service run a model. A record may name a
// service that nobody has configured; its writer gets no orders.
func (c *configuration) runs(service, model string) bool {
	if c == nil {
		return false
	}
	s := c.Services[service]
	return s != nil && s.Engine != nil && slices.Contains(s.Engine.Models, model)
}

// state is what an entry believes. The configuration is read without a lock; mu
// guards the rest.
type state struct {
	config atomic.Pointer[configuration]
	// listReadAt is as of when the list of replicas is known, a time.Duration on the
	// entry's clock: when the call was made whose answer showed it. listReader is the entry
	// that made it.
	listReadAt atomic.Int64
	listReader atomic.Pointer[string]

	mu       sync.Mutex
	replicas *member.Replicas
	// outage is the reader's of the list of replicas.
	outage       *member.Outage
	board        *rollout.VersionTracker
	feed         *route.Picker
	demands      map[string]*rollout.VersionHistory // of each model
	retryBudgets map[string]*attempt.Budget
	crashes      *attempt.CrashTracker
	queues       map[string]*serviceQueue
	rateLimits   *ratelimit.Limits
	// leavingNews are replicas that have said here that they leave, and how often the other
	// entries are still to be told.
	leavingNews map[string]int
	// listed is set once the list of replicas was read whole.
	listed bool
	// listRewound is when it was last read from a store that came back from an older copy, 0
	// for never.
	listRewound time.Duration
	// changed is closed, and replaced, when more replicas may be usable.
	changed chan struct{}
	// announcements is entries' word when versions of weights were named: of a few a day for
	// each model, as long as this process runs.
	announcements map[modelVersion]*rollout.Announcement
	// announcementsRead are those that were read in the store's present era.
	announcementsRead map[modelVersion]bool
	// learns is called once for each service of engines that requests come for.
	learns func(service string)
	// retryBudget is what all entries together may send a second time to a service; each
	// takes its share.
	retryBudget attempt.BudgetParams
	// entries is how many entries there are, this one included; unknownEntries until
	// the list of them was read.
	entries int
}

// assumedEntries is how many entries are assumed while nobody says how many there are: a few
// more than the largest fleet that is built towards has, so that all together spend no more than
// they may.
const assumedEntries = 512

func newState(self string, budget attempt.BudgetParams) *state {
	return &state{
		entries:       assumedEntries,
		replicas:      member.NewReplicas(member.DefaultReplicaParams),
		outage:        member.NewOutage(outageParams),
		board:         rollout.NewVersionTracker(),
		feed:          route.NewPicker(route.DefaultPickerParams, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		demands:       make(map[string]*rollout.VersionHistory),
		retryBudgets:  make(map[string]*attempt.Budget),
		crashes:       attempt.NewCrashTracker(attempt.DefaultCrashTrackerParams),
		queues:        make(map[string]*serviceQueue),
		rateLimits:    ratelimit.New(self, ratelimit.DefaultParams, rand.Float64),
		changed:       make(chan struct{}),
		retryBudget:   budget,
		announcements: make(map[modelVersion]*rollout.Announcement),

		leavingNews:       make(map[string]int),
		announcementsRead: make(map[modelVersion]bool),
		learns:            func(string) {},
	}
}

// listFrom is the entry that read the list of replicas that is in force, "" for this one
// where it reads for itself alone.
func (s *state) listFrom() string {
	if from := s.listReader.Load(); from != nil {
		return *from
	}
	return ""
}

// rewoundUntil is until when a replica that the list lacks may be missing since the store came back
// from an older copy: replicas write themselves again. The caller holds mu.
func (s *state) rewoundUntil() time.Duration {
	if s.listRewound == 0 {
		return 0
	}
	return s.listRewound + afterOutage
}

// notifyChanged wakes the requests that wait for a replica. The caller holds mu.
func (s *state) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// budgetOf returns a service's budget of extra work. The caller holds mu.
func (s *state) budgetOf(service string) *attempt.Budget {
	b := s.retryBudgets[service]
	if b == nil {
		b = attempt.NewBudget(s.ownBudget())
		s.retryBudgets[service] = b
	}
	return b
}

// ownBudget is this entry's share of the budget: of what may be spent whatever the
// traffic, one part in as many as there are entries. The share by requests counts
// its own. The caller holds mu.
func (s *state) ownBudget() attempt.BudgetParams {
	p := s.retryBudget
	p.Burst = max(1, p.Burst/float64(s.entries))
	return p
}

// setRetryBudget takes another budget.
func (s *state) setRetryBudget(p attempt.BudgetParams) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget = p
	s.resize()
}

// setEntryCount takes how many entries there are. Those that are gone but still listed
// count, which only makes the shares smaller.
func (s *state) setEntryCount(entries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = entries
	s.resize()
}

// entryCount is how many entries there are.
func (s *state) entryCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries
}

// resize divides the budget anew. The caller holds mu.
func (s *state) resize() {
	own := s.ownBudget()
	for _, b := range s.retryBudgets {
		b.Resize(own.Share, own.Burst)
	}
}

// ready reports whether requests can be served: the configuration and the list of
// replicas are known.
func (s *state) ready() bool {
	if s.config.Load() == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed
}

// sample is how many of n candidates a choice looks at: the fewer the more entries
// choose at the same time on loads that are equally old. The caller holds mu.
func (s *state) sample(n int) int {
	return max(minSample, samplePart*n/(s.entries+1))
}

const (
	// samplePart of all candidates in as many as there are entries have them look at
	// each replica about that many times; minSample gives every choice alternatives.
	samplePart = 3
	minSample  = 3
)

// forgetReplica drops what is known of a replica that is gone. The caller holds mu.
func (s *state) forgetReplica(id string) {
	s.board.Forget(id)
	s.feed.RemoveReplica(id)
	s.rateLimits.Forget(id)
}

// wanted is the version of a model's weights to use, 0 if none was named. The
// caller holds mu.
func (s *state) wanted(model string) uint64 {
	if d := s.demands[model]; d != nil {
		return d.Newest()
	}
	return 0
}

// exclusions counts the replicas of a service, and those of them that could not
// take a request, by why. It is what a refusal's line tells.
type exclusions struct {
	listed int
	// left are draining or gone, down unreachable or just refused something, ordered
	// about to load weights, overdue on weights that may not be used any more.
	// unfit don't say that they run the model asked for.
	// limited have had their part of the rate that they take, resting have turned the entry away
	// for a time.
	left, down, ordered, overdue, unfit, limited, resting int
}

// candidates lists the replicas of a service that may take a request for a model
// ("" for plain services), doubtful ones marked. The caller holds mu.
func (s *state) candidates(service *fleet.Service, model string, now time.Duration) ([]route.PickCandidate, exclusions) {
	var out []route.PickCandidate
	var excluded exclusions
	var oldest uint64
	if d := s.demands[model]; d != nil {
		oldest = d.OldestAllowed(now)
	}
	for _, id := range s.replicas.IDs() {
		r := s.replicas.Get(id)
		if r.Service != service.Name {
			continue
		}
		excluded.listed++
		health := s.replicas.Health(id, now)
		switch health {
		case member.Left:
			excluded.left++
			continue
		case member.Down:
			if now < s.replicas.BackoffUntil(id) {
				excluded.resting++
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
				excluded.unfit++
				continue
			}
			if s.board.Ordered(id, model, now) {
				excluded.ordered++
				continue
			}
			c.Version = s.board.Version(id, model)
			c.RolloutIn, c.RolloutPlanned = s.board.TimeToSlot(id, model, now)
			if c.Version < oldest {
				excluded.overdue++
				continue
			}
		}
		out = append(out, c)
	}
	return out, excluded
}

// states lists the replicas of a model for its rollout. The caller holds mu.
func (s *state) states(model string, now time.Duration) []rollout.State {
	var out []rollout.State
	config := s.config.Load()
	for _, id := range s.replicas.IDs() {
		r := s.replicas.Get(id)
		if _, serves := r.Weights[model]; !serves || s.replicas.Draining(id) || !config.runs(r.Service, model) {
			continue
		}
		turn, planned := s.board.TimeToSlot(id, model, now)
		out = append(out, rollout.State{
			TimeToSlot: turn, HasSlot: planned,
			Replica:        r,
			Version:        s.board.Version(id, model),
			AcceptedOrders: s.board.AcceptedOrders(id, model),
			Reachable:      s.replicas.Health(id, now) != member.Down,
			Running:        s.feed.Running(id),
		})
	}
	return out
}
