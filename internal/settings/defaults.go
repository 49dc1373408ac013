package settings

import (
	"time"

	"skylarklead/internal/strictjson"
)

// Defaults of the settings that a file leaves out.
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

// fillDefaults sets the fields that the document leaves out. A field that the
// document sets to 0 stays 0.
func (s *Settings) fillDefaults(doc *strictjson.Document) {
	setDefault(doc, "log_level", &s.LogLevel, DefaultLogLevel)
	setDefault(doc, "advertise", &s.Advertise, s.Listen)
	setDefault(doc, "platform.retention", &s.Platform.Retention, DefaultRetention)
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
	setDefault(doc, "entry.max_body", &e.MaxBody, DefaultMaxBody)
	setDefault(doc, "entry.hedge_after", &e.HedgeAfter, DefaultHedgeAfter)
	setDefault(doc, "entry.resume_grace", &e.ResumeGrace, DefaultResumeGrace)
	setDefault(doc, "entry.request_timeout", &e.RequestTimeout, DefaultRequestTimeout)
	setDefault(doc, "entry.retry_share", &e.RetryShare, DefaultRetryShare)
	setDefault(doc, "entry.policy", &e.Policy, DefaultPolicy)
}

func (e *Endpoint) fillDefaults(doc *strictjson.Document) {
	setDefault(doc, "endpoint.kind", &e.Kind, DefaultKind)
	setDefault(doc, "endpoint.max_running", &e.MaxRunning, DefaultMaxRunning)
	setDefault(doc, "endpoint.max_queue", &e.MaxQueue, DefaultMaxQueue)
	setDefault(doc, "endpoint.small_reserve", &e.SmallReserve, DefaultSmallReserve)
	setDefault(doc, "endpoint.first_token_target", &e.FirstTokenTarget, DefaultFirstTokenTarget)
	setDefault(doc, "endpoint.prefill_tokens_per_second", &e.PrefillTokensPerSecond, DefaultPrefillTokensPerSecond)
	setDefault(doc, "endpoint.decode_token_time", &e.DecodeTokenTime, DefaultDecodeTokenTime)
	setDefault(doc, "endpoint.cache_tokens", &e.CacheTokens, DefaultCacheTokens)
	setDefault(doc, "endpoint.transfer_wait", &e.TransferWait, DefaultTransferWait)
	setDefault(doc, "endpoint.heartbeat", &e.Heartbeat, DefaultHeartbeat)
	setDefault(doc, "endpoint.suspect_after", &e.SuspectAfter, DefaultSuspectAfter)
}

func setDefault[T any](doc *strictjson.Document, path string, field *T, value T) {
	if !doc.Has(path) {
		*field = value
	}
}
