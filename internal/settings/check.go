package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"

	"skylarklead/internal/strictjson"
)

// RoleDirect is the role of an entry that dispatches requests directly to replicas.
const RoleDirect = "direct"

const (
	// maxBodyLimit, in bytes, keeps a caller's body within one frame between
	// processes.
	maxBodyLimit = 4 << 20
	wantAddress  = `"ip:port" by IP number, such as "127.0.0.1:7001"`
	wantURL      = `a base URL by IP number, such as "http://127.0.0.1:7000"`
)

var (
	logLevels = []string{"debug", "info", "warn", "error"}
	roles     = []string{"entry", "endpoint", RoleDirect}
	kinds     = []string{"engine", "service"}
	// policies are those of package route. They are repeated here because route
	// imports this package.
	policies = []string{"owner", "random", "round_robin", "least_loaded", "rendezvous_prompt", "rendezvous_bounded", "prefix_tables"}
)

// checker validates the values of decoded settings and adds the problems to doc.
type checker struct {
	doc      *strictjson.Document
	settings *Settings
	// listenFields has the field that each listening address was first given in.
	listenFields map[netip.AddrPort]string
}

func (c *checker) check() {
	if !c.doc.OK() && !c.doc.Has("id") && !c.doc.Has("role") {
		return // not a settings file at all: the decoder's problems are enough
	}
	c.listenFields = map[netip.AddrPort]string{}
	s := c.settings
	c.required("id", s.ID)
	c.oneOf("role", s.Role, roles)
	c.required("failure_domain", s.FailureDomain)
	c.oneOf("log_level", s.LogLevel, logLevels)
	if s.Metrics != "" {
		c.listenAddress("metrics", s.Metrics)
	}
	if s.Role == RoleDirect {
		c.checkDirect()
		return
	}
	c.listenAddress("listen", s.Listen)
	if c.doc.Has("advertise") {
		c.peerAddress("advertise", s.Advertise)
	} else if strings.HasPrefix(s.Listen, "0.0.0.0:") || strings.HasPrefix(s.Listen, "[::]:") {
		c.doc.Add("listen", fmt.Sprintf("%q can't be dialled by peers", s.Listen), `"advertise" beside it, or one address`)
	}
	c.checkFleetKeys()
	c.baseURL("platform.log", s.Platform.Log)
	c.baseURL("platform.instances", s.Platform.Instances)
	c.positive("platform.retention", s.Platform.Retention)
	c.checkBootstrap()
	c.checkRoles()
}

func (c *checker) checkBootstrap() {
	for i, p := range c.settings.Bootstrap.Peers {
		path := fmt.Sprintf("bootstrap.peers[%d]", i)
		c.peerAddress(path, p)
		if slices.Contains(c.settings.Bootstrap.Peers[:i], p) {
			c.doc.Add(path, fmt.Sprintf("%q is a duplicate", p), "each peer once")
		}
	}
}

// checkRoles checks that the settings have exactly the section of the role, and
// checks that section.
func (c *checker) checkRoles() {
	s := c.settings
	if s.Entry != nil {
		c.checkEntry(s.Entry)
	}
	if s.Endpoint != nil {
		c.checkEndpoint(s.Endpoint)
	}
	switch {
	case s.Entry != nil && s.Endpoint != nil:
		c.doc.Add("endpoint", "is given beside \"entry\"", "the one that the role names")
	case s.Entry == nil && s.Endpoint == nil:
		c.doc.Add("", `neither "entry" nor "endpoint" is given`, "the one that the role names")
	case s.Role == "entry" && s.Entry == nil:
		c.doc.Add("role", `is "entry" but the settings have "endpoint"`, `role "endpoint", or a section "entry"`)
	case s.Role == "endpoint" && s.Endpoint == nil:
		c.doc.Add("role", `is "endpoint" but the settings have "entry"`, `role "entry", or a section "endpoint"`)
	}
}

func (c *checker) checkEntry(e *Entry) {
	c.listenAddress("entry.listen", e.Listen)
	if e.TLS != nil {
		c.required("entry.tls.certificate", e.TLS.Certificate)
		c.required("entry.tls.key", e.TLS.Key)
	}
	if e.MaxBody <= 0 || e.MaxBody > maxBodyLimit {
		c.doc.Add("entry.max_body", fmt.Sprintf("is %d", e.MaxBody), fmt.Sprintf("bytes from 1 to %d", maxBodyLimit))
	}
	c.positive("entry.hedge_after", e.HedgeAfter)
	c.positive("entry.request_timeout", e.RequestTimeout)
	if e.Grace != 0 && e.Grace.D() <= e.DrainDelay.D()+EntryStopMargin {
		c.doc.Add("entry.grace", fmt.Sprintf("is %v", e.Grace.D()), fmt.Sprintf("0, or more than drain_delay and %v", EntryStopMargin))
	}
	c.fraction("entry.retry_share", e.RetryShare)
	c.oneOf("entry.policy", e.Policy, policies)
}

func (c *checker) checkEndpoint(e *Endpoint) {
	c.required("endpoint.group", e.Group)
	c.oneOf("endpoint.kind", e.Kind, kinds)
	c.baseURL("endpoint.backend", e.Backend)
	c.atLeastOne("endpoint.max_running", float64(e.MaxRunning))
	if e.MaxQueue < 0 {
		c.doc.Add("endpoint.max_queue", fmt.Sprintf("is %d", e.MaxQueue), "0 or more")
	}
	c.fraction("endpoint.small_reserve", e.SmallReserve)
	c.fraction("endpoint.keep_serving", e.KeepServing)
	c.positive("endpoint.first_token_target", e.FirstTokenTarget)
	c.atLeastOne("endpoint.prefill_tokens_per_second", e.PrefillTokensPerSecond)
	c.positive("endpoint.decode_token_time", e.DecodeTokenTime)
	if !(e.TransferTokensPerSecond >= 0) {
		c.doc.Add("endpoint.transfer_tokens_per_second", fmt.Sprintf("is %v", e.TransferTokensPerSecond),
			"0 for no import, or the measured transfer rate of the engines")
	}
	if e.TransferTokensPerSecond > 0 {
		c.positive("endpoint.transfer_wait", e.TransferWait)
	}
	c.atLeastOne("endpoint.cache_tokens", float64(e.CacheTokens))
	c.positive("endpoint.heartbeat", e.Heartbeat)
	if e.SuspectAfter <= e.Heartbeat {
		c.doc.Add("endpoint.suspect_after",
			fmt.Sprintf("%v is not more than the heartbeat, %v: every peer would be suspected", e.SuspectAfter.D(), e.Heartbeat.D()),
			"about three heartbeats")
	}
}

func (c *checker) required(path, value string) {
	if value == "" {
		c.doc.Add(path, "is missing or empty", "a value")
	}
}

func (c *checker) oneOf(path, value string, allowed []string) {
	if !slices.Contains(allowed, value) {
		c.doc.Add(path, fmt.Sprintf("%q is not known", value), `"`+strings.Join(allowed, `" or "`)+`"`)
	}
}

func (c *checker) positive(path string, d Duration) {
	if d <= 0 {
		c.doc.Add(path, "is "+d.D().String(), "more than 0s")
	}
}

func (c *checker) atLeastOne(path string, n float64) {
	if !(n >= 1) {
		c.doc.Add(path, fmt.Sprintf("is %v", n), "1 or more")
	}
}

func (c *checker) fraction(path string, n float64) {
	if !(n >= 0 && n <= 1) {
		c.doc.Add(path, fmt.Sprintf("is %v", n), "a share from 0 to 1")
	}
}

// address parses "ip:port" and adds a problem if value isn't that or has port 0.
func (c *checker) address(path, value string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(value)
	switch {
	case err != nil:
		c.doc.Add(path, fmt.Sprintf("%q is not an address", value), wantAddress)
	case a.Port() == 0:
		c.doc.Add(path, fmt.Sprintf("%q has port 0", value), "a fixed port that can be advertised to peers")
	default:
		return a, true
	}
	return a, false
}

// listenAddress checks an address to listen on and that no other setting uses it.
func (c *checker) listenAddress(path, value string) {
	a, ok := c.address(path, value)
	if !ok {
		return
	}
	for b, other := range c.listenFields {
		anyHost := a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
		if a == b || (a.Port() == b.Port() && anyHost) {
			c.doc.Add(path, fmt.Sprintf("%q is already taken by %s", value, other), "an address of its own")
			return
		}
	}
	c.listenFields[a] = path
}

// peerAddress checks an address that other processes dial.
func (c *checker) peerAddress(path, value string) {
	if a, ok := c.address(path, value); ok && a.Addr().IsUnspecified() {
		c.doc.Add(path, fmt.Sprintf("%q can't be dialled", value), wantAddress)
	}
}

func (c *checker) baseURL(path, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		c.doc.Add(path, fmt.Sprintf("%q is not a base URL", value), wantURL)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		c.doc.Add(path, fmt.Sprintf("%q doesn't name its host by IP number", value), wantURL)
	}
}
