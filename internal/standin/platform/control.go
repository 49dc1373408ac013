package platform

import (
	"encoding/json"
	"time"
)

// Control is what the stand-in's control endpoint switches. A POST of some of
// its fields changes just these.
type Control struct {
	// LogDown refuses reads and appends, AppendDown appends, ReadDown reads.
	LogDown    bool `json:"log_down"`
	AppendDown bool `json:"append_down"`
	ReadDown   bool `json:"read_down"`
	// SlowMS is a pause before each effect and read, SlowAnswerMS one after the
	// effect and before the answer.
	SlowMS       int `json:"slow_ms"`
	SlowAnswerMS int `json:"slow_answer_ms"`
	// LoseNextAnswers is how many appends to come take effect and then have
	// their connection closed in place of an answer;
	// LoseAnswerProbability does the same by chance, 0 to 1.
	LoseNextAnswers       int     `json:"lose_next_answers"`
	LoseAnswerProbability float64 `json:"lose_answer_probability"`
	// AppendsPerSecond and AppendBurst limit appends over all streams;
	// 0 is no limit.
	AppendsPerSecond float64 `json:"appends_per_second"`
	AppendBurst      int     `json:"append_burst"`
	// RetentionMS and RetentionCount bound what a stream keeps; 0 is no bound.
	RetentionMS    int `json:"retention_ms"`
	RetentionCount int `json:"retention_count"`
	// ListDown refuses the instance list; ListFrozen keeps it as it is shown.
	ListDown   bool `json:"list_down"`
	ListFrozen bool `json:"list_frozen"`
	// LagMS is how far the instance list is behind.
	LagMS int `json:"lag_ms"`
	// WeightsMS is how long a fetch of weights takes while at most WeightsBound
	// go on; more share the speed.
	WeightsMS    int `json:"weights_ms"`
	WeightsBound int `json:"weights_bound"`
}

// DefaultControl returns a platform without faults, in the brief's sizes.
func DefaultControl() Control {
	return Control{
		AppendsPerSecond: 300,
		AppendBurst:      60,
		LagMS:            2000,
		WeightsMS:        800,
		WeightsBound:     3,
	}
}

func (c *Control) retention() retention {
	return retention{age: milliseconds(c.RetentionMS), count: c.RetentionCount}
}

// merge returns c with the fields that data has.
func (c Control) merge(data []byte) (Control, error) {
	err := json.Unmarshal(data, &c)
	return c, err
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
