package route

import "time"

// PickerParams are the costs and time constants by which a Picker compares replicas. Costs are
// engine time in milliseconds.
type PickerParams struct {
	// PrefillTokensPerMs is an engine's prefill speed, RunningMs by how much one running request
	// delays another, OverheadMs the time to the first event besides these. They are start values
	// until speeds are learnt from requests.
	PrefillTokensPerMs, RunningMs, OverheadMs float64
	// MissWeight is the cost of a millisecond of prefilling shared parts anew, relative to one of
	// waiting: the new copy also evicts what others will then prefill anew.
	MissWeight float64
	// PeerLoadFactor is the assumed load of the other entries relative to this one's while no
	// peer's load is known. They get the same mix of requests and pick by the same rules.
	PeerLoadFactor float64
	// PeerTTL is how long a peer's load report stays valid. While there is none, PeerLoadFactor
	// applies.
	PeerTTL time.Duration
	// QueueDelayHalfLife is the half-life of the delays that requests met at a replica,
	// QueueDelayLearningRate the weight of the latest one.
	QueueDelayHalfLife     time.Duration
	QueueDelayLearningRate float64
	// OwnerMissShare is the fraction of a shared prefix that is expected to be missing at its
	// owner if this entry has not sent it there.
	OwnerMissShare float64
	// OverrunCost is the cost of each millisecond by which a request is expected to outlast the
	// replica's scheduled start of a weights load: the replica is nearly idle until it ends.
	OverrunCost float64
	// OutputTokenMs is the start value of the time per output token, LearningRate the weight of
	// the latest request in the running means.
	OutputTokenMs, LearningRate float64
	// OldWeightsCost is the cost of starting on weights that are to be replaced.
	OldWeightsCost float64
	// RecentFaultsCost is the penalty of a replica with recent faults.
	RecentFaultsCost float64
	// CrossDomainCost is the cost of dispatching to another failure domain.
	CrossDomainCost float64
	// PlainServiceMs is the work of a request at a replica without an engine.
	PlainServiceMs float64
	// MaxLevels bounds the levels remembered. LevelTTL bounds how long one is expected to stay in
	// a cache where nothing else evicts it.
	MaxLevels int
	LevelTTL  time.Duration
	// SavedTTL is how long a prefix is expected to stay in a KV store after a save.
	SavedTTL time.Duration
	// RankDonors makes replicas fetch prefixes from the best of those that hold them, and trusts
	// donors by their whole memory. Without it, the first of them is the donor, and they are
	// trusted by the memory that running requests leave.
	RankDonors bool
}

// DefaultPickerParams are start values for what is learnt, and costs that hold for any engine.
var DefaultPickerParams = PickerParams{
	PrefillTokensPerMs: 50, MissWeight: 4.5, RunningMs: 2, OverheadMs: 40, PeerLoadFactor: 2, OwnerMissShare: 0.3,
	PeerTTL: 500 * time.Millisecond, QueueDelayHalfLife: 400 * time.Millisecond, QueueDelayLearningRate: 0.4,
	OverrunCost: 0.2, OutputTokenMs: 8, LearningRate: 0.05, OldWeightsCost: 150, RecentFaultsCost: 1000, CrossDomainCost: 3, PlainServiceMs: 60,
	MaxLevels: 8192, LevelTTL: 30 * time.Second, SavedTTL: 10 * time.Second,
}

// PickQuery describes a request as far as it affects the choice of a replica.
type PickQuery struct {
	// Service names the service whose engines may run it.
	Service string
	// Levels are the nested prefixes that other prompts may share, shortest first.
	Levels       []PrefixLevel
	SharedTokens int
	PromptTokens int
	// OutputTokens is the expected output length.
	OutputTokens int
	// FailureDomain is the entry's own.
	FailureDomain string
	// DesiredVersion is the preferred weights version, 0 for any.
	DesiredVersion uint64
	// MaxWaitMs is the expected wait, in milliseconds, above which a replica isn't picked while
	// peers' loads are known; 0 for no bound.
	MaxWaitMs float64
	// Sample is how many replicas are considered besides the prefix's holders and its owner, 0
	// for all.
	Sample int
	// Exclude lists replicas that the request was already sent to.
	Exclude []string
}

// PickCandidate is a replica that may be picked.
type PickCandidate struct {
	ID            string
	FailureDomain string
	Version       uint64
	// Slots is how many requests the replica runs at once.
	Slots int
	// MemoryTokens is an engine's memory for running requests and cached prefixes, 0 if it isn't
	// known.
	MemoryTokens int
	// Engine is set for a model engine, false for a plain replica.
	Engine       bool
	RecentFaults bool
	// RolloutIn is the time until the replica stops taking requests to load other weights; valid
	// if RolloutPlanned.
	RolloutIn      time.Duration
	RolloutPlanned bool
}

// PickResult is the chosen replica with the values that decided the choice.
type PickResult struct {
	ID     string
	Score  float64
	WaitMs float64
	// MissingTokens is how many shared tokens the replica is expected to lack, Donor another
	// replica on the same weights that may hold them, "" if none.
	MissingTokens int
	Donor         string
	// DonorTokens is how many shared tokens Donor is known to have prefilled, 0 if Donor is a
	// guess.
	DonorTokens int
	// Store is the KV store that the replica was told to fetch from, "" for none.
	Store string
	// Ahead is the load of all entries that was to delay the request, at the time of the pick.
	Ahead          Load
	Reason         string
	CandidateCount int
	// OverBound is how many of the candidates that were looked at have a longer wait than allowed or
	// no memory for the request, LeastWaitMs the shortest of these waits.
	OverBound   int
	LeastWaitMs float64
}

// Reasons of a pick.
const (
	pickPrefixHeld  = "prefix_held"
	pickPrefixOwner = "prefix_home"
	pickSpill       = "spill"
	pickLeastLoaded = "least_loaded"
)
