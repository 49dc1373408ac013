package platform

import (
	"encoding/json"
	"time"
)

// Control is the state that POST /control changes. Fields that are left out keep
// their values.
type Control struct {
	// LogDown makes reads and appends fail with 503, AppendDown only appends,
	// ReadDown only reads.
	LogDown    bool `json:"log_down"`
	AppendDown bool `json:"append_down"`
	ReadDown   bool `json:"read_down"`
	// SlowMS delays each append before it takes effect and each read.
	// SlowAnswerMS delays the response to an append after it has taken effect.
	SlowMS       int `json:"slow_ms"`
	SlowAnswerMS int `json:"slow_answer_ms"`
	// LoseNextAnswers is for how many of the next appends the connection is closed
	// without a response after they have taken effect. LoseAnswerProbability is
	// the probability of this for each append, 0 to 1.
	LoseNextAnswers       int     `json:"lose_next_answers"`
	LoseAnswerProbability float64 `json:"lose_answer_probability"`
	// AppendsPerSecond and AppendBurst are the rate limit and burst of appends to
	// all streams together; AppendsPerSecond 0 is no limit.
	AppendsPerSecond float64 `json:"appends_per_second"`
	AppendBurst      int     `json:"append_burst"`
	// RetentionMS and RetentionCount limit the age and number of the records that
	// a stream keeps, 0 for no limit.
	RetentionMS    int `json:"retention_ms"`
	RetentionCount int `json:"retention_count"`
	// ListDown makes requests for the instance list fail with 503. ListFrozen stops
	// changes from becoming visible in it.
	ListDown   bool `json:"list_down"`
	ListFrozen bool `json:"list_frozen"`
	// LagMS is the delay after which a change becomes visible in the instance list.
	LagMS int `json:"lag_ms"`
	// WeightsMS is how long a fetch of weights takes while at most WeightsBound
	// are in progress; more than that share the throughput of WeightsBound.
	WeightsMS    int `json:"weights_ms"`
	WeightsBound int `json:"weights_bound"`
}

// DefaultControl returns settings without faults and with the nominal rates and
// delays of the platform.
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

// merge returns c with the fields in the JSON object data replaced.
func (c Control) merge(data []byte) (Control, error) {
	err := json.Unmarshal(data, &c)
	return c, err
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
