package settings

import (
	"time"

	"skylarklead/internal/strictjson"
)

// What a settings file that doesn't say otherwise gets.
const (
	DefaultLogLevel               = "info"
	DefaultRetention              = Duration(24 * time.Hour)
	DefaultMaxBody                = 1 << 20
	DefaultHedgeAfter             = Duration(40 * time.Millisecond)
	DefaultResumeGrace            = Duration(5 * time.Second)
	DefaultRequestTimeout         = Duration(60 * time.Second)
	DefaultRetryShare             = 0.1
	DefaultPolicy                 = "owner"
	DefaultKind                   = "engine"
	DefaultMaxRunning             = 16
	DefaultMaxQueue               = 256
	DefaultSmallReserve           = 0.25
	DefaultFirstTokenTarget       = Duration(880 * time.Millisecond)
	DefaultPrefillTokensPerSecond = 20000
	DefaultDecodeTokenTime        = Duration(10 * time.Millisecond)
	DefaultCacheTokens            = 40000
	DefaultTransferWait           = Duration(250 * time.Millisecond)
	DefaultHeartbeat              = Duration(time.Second)
	DefaultSuspectAfter           = Duration(3 * time.Second)
)

// fillDefaults sets what the document leaves out. What it gives as 0 stays 0.
func (s *Settings) fillDefaults(doc *strictjson.Document) {
	fill(doc, "log_level", &s.LogLevel, DefaultLogLevel)
	fill(doc, "advertise", &s.Advertise, s.Listen)
	fill(doc, "platform.retention", &s.Platform.Retention, DefaultRetention)
	if e := s.Entry; e != nil {
		e.fillDefaults(doc)
	}
	if e := s.Endpoint; e != nil {
		e.fillDefaults(doc)
	}
	if d := s.Direct; d != nil {
		d.fillDefaults(doc)
	}
}

func (e *Entry) fillDefaults(doc *strictjson.Document) {
	fill(doc, "entry.max_body", &e.MaxBody, DefaultMaxBody)
	fill(doc, "entry.hedge_after", &e.HedgeAfter, DefaultHedgeAfter)
	fill(doc, "entry.resume_grace", &e.ResumeGrace, DefaultResumeGrace)
	fill(doc, "entry.request_timeout", &e.RequestTimeout, DefaultRequestTimeout)
	fill(doc, "entry.retry_share", &e.RetryShare, DefaultRetryShare)
	fill(doc, "entry.policy", &e.Policy, DefaultPolicy)
}

func (e *Endpoint) fillDefaults(doc *strictjson.Document) {
	fill(doc, "endpoint.kind", &e.Kind, DefaultKind)
	fill(doc, "endpoint.max_running", &e.MaxRunning, DefaultMaxRunning)
	fill(doc, "endpoint.max_queue", &e.MaxQueue, DefaultMaxQueue)
	fill(doc, "endpoint.small_reserve", &e.SmallReserve, DefaultSmallReserve)
	fill(doc, "endpoint.first_token_target", &e.FirstTokenTarget, DefaultFirstTokenTarget)
	fill(doc, "endpoint.prefill_tokens_per_second", &e.PrefillTokensPerSecond, DefaultPrefillTokensPerSecond)
	fill(doc, "endpoint.decode_token_time", &e.DecodeTokenTime, DefaultDecodeTokenTime)
	fill(doc, "endpoint.cache_tokens", &e.CacheTokens, DefaultCacheTokens)
	fill(doc, "endpoint.transfer_wait", &e.TransferWait, DefaultTransferWait)
	fill(doc, "endpoint.heartbeat", &e.Heartbeat, DefaultHeartbeat)
	fill(doc, "endpoint.suspect_after", &e.SuspectAfter, DefaultSuspectAfter)
}

func fill[T any](doc *strictjson.Document, path string, field *T, value T) {
	if !doc.Has(path) {
		*field = value
	}
}
