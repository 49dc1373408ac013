package route

import "time"

// PickerParams weigh what a direct entry knows of the replicas that it feeds. Times
// are engine time in milliseconds.
type PickerParams struct {
	// PrefillTokensPerMs is how fast an engine reads prompts, TokenMs how much one running
	// request slows its others, OverheadMs the time to a first event beside: until they are
	// learnt from requests.
	PrefillTokensPerMs, TokenMs, OverheadMs float64
	// MissWeight is what a millisecond of reading shared parts anew weighs against one of
	// waiting: the copy also pushes out of the cache what others will read anew.
	MissWeight float64
	// Others is the load of other entries for each unit of one's own: they see the
	// same mix and pick by the same rules, but what they place is not heard of.
	Others float64
	// PeerFresh is how long another entry's word on its loads counts. While none was
	// heard, Others stands in.
	PeerFresh time.Duration
	// LagHalfLife is how fast the waits that requests met at a replica are forgotten,
	// LagLearning the weight of the latest.
	LagHalfLife time.Duration
	LagLearning float64
	// HomeDoubt is the part of a shared prefix that is expected to be missing at its
	// home when this entry has not sent it there.
	HomeDoubt float64
	// Outlasts is the cost of each millisecond that a request is expected to outlast
	// the replica's turn to load weights: the replica stands nearly idle meanwhile.
	Outlasts float64
	// OutputTokenMs is the expected time of an output token until some were seen,
	// Learning the weight of each stream's end in what is expected from then on.
	OutputTokenMs, Learning float64
	// OldWeights is what it costs to begin on weights that are to be replaced.
	OldWeights float64
	// Doubtful is what a replica with recent faults is set back by.
	Doubtful float64
	// Crossing is the cost of another failure domain.
	Crossing float64
	// PlainMs is the work of a request at a plain service.
	PlainMs float64
	// Known bounds the levels remembered. KnownFor bounds how long one is believed to
	// stay in a cache where nothing else pushes it out.
	Known    int
	KnownFor time.Duration
	// KeptFor is how long a prefix is believed to be in the store once it was sent.
	KeptFor time.Duration
}

// DefaultPickerParams come from the engines' sheets: some 56 prompt tokens a
// millisecond and a step of 4 ms that grows by a tenth with each running request.
var DefaultPickerParams = PickerParams{
	PrefillTokensPerMs: 50, MissWeight: 4.5, TokenMs: 2, OverheadMs: 40, Others: 2, HomeDoubt: 0.3,
	PeerFresh: 500 * time.Millisecond, LagHalfLife: 400 * time.Millisecond, LagLearning: 0.4,
	Outlasts: 0.2, OutputTokenMs: 8, Learning: 0.05, OldWeights: 150, Doubtful: 1000, Crossing: 3, PlainMs: 60,
	Known: 8192, KnownFor: 30 * time.Second, KeptFor: 10 * time.Second,
}

// PickQuery is a request as far as its place matters.
type PickQuery struct {
	// Service names the engines that may run it.
	Service string
	// Levels are the nested prefixes that other prompts may share, the shortest first.
	Levels       []PrefixLevel
	SharedTokens int
	PromptTokens int
	// OutputTokens is the expected output.
	OutputTokens int
	// FailureDomain is the entry's own.
	FailureDomain string
	// WantedVersion is the version of the weights to use if there is a choice, 0 for any.
	WantedVersion uint64
	// MaxWaitMs is the wait, in milliseconds, beyond which a replica isn't picked while
	// the others' loads are known; 0 is no bound.
	MaxWaitMs float64
	// Sample is how many replicas are looked at beside the prefix's holders and its
	// home, 0 for all.
	Sample int
	// Exclude names replicas that have had the request.
	Exclude []string
}

// PickCandidate is a replica that may be picked.
type PickCandidate struct {
	ID            string
	FailureDomain string
	Version       uint64
	Slots         int
	// MemoryTokens is an engine's memory for running requests and cached parts, 0 if it
	// isn't known.
	MemoryTokens int
	Engine       bool
	RecentFaults bool
	// RolloutIn is the time until the replica takes no more work to load other weights,
	// if Planned.
	RolloutIn      time.Duration
	RolloutPlanned bool
}

// PickResult is a pick with what decided it.
type PickResult struct {
	ID     string
	Score  float64
	WaitMs float64
	// MissingTokens is how many shared tokens the replica is expected to lack, Source another
	// replica on the same weights that may hold them, "" if none.
	MissingTokens int
	Donor         string
	// DonorTokens is how many shared tokens Source is known to have read, 0 for a guess.
	DonorTokens int
	// Store is the store that the replica was told to fetch from, "" for none.
	Store string
	// LoadAtPick is what all entries had there when it was picked.
	LoadAtPick     Load
	Reason         string
	CandidateCount int
}

// Reasons of a feed's pick.
const (
	feedHeld  = "prefix_held"
	feedHome  = "prefix_home"
	feedSpill = "spill"
	feedLeast = "least_loaded"
)
