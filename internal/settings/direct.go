package settings

import (
	"fmt"
	"time"

	"skylarklead/internal/strictjson"
)

// Direct has the settings of the role direct: an entry that hands requests to
// replicas itself, on a platform where no process of the system stands beside them.
type Direct struct {
	// Listen is "ip:port" for callers, Ready the one on which the platform asks
	// whether new connections may come.
	Listen string `json:"listen"`
	Ready  string `json:"ready"`
	// Peers is "ip:port", over UDP, for the other direct entries.
	Peers string `json:"peers"`
	// Store is "ip:port" of the platform's store.
	Store string `json:"store"`
	// Grace is the time from SIGTERM until the process is killed.
	Grace Duration `json:"grace"`
	// RetryShare and RetryExtra bound what all entries together send a second time
	// to one service over a time of any length: RetryShare of its requests, 0 to 1,
	// and RetryExtra beside.
	RetryShare float64 `json:"retry_share"`
	RetryExtra float64 `json:"retry_extra"`
	// Lease is for how long two givers of orders must not overlap. FencesChecked
	// says that replicas refuse an old giver by themselves.
	Lease         Duration `json:"lease"`
	FencesChecked bool     `json:"fences_checked"`
	// WeightsWithin is the time from the naming of a version of weights until no
	// request may begin on an older one.
	WeightsWithin Duration `json:"weights_within"`
	// ClockSkew is by how much two instances' clocks may differ.
	ClockSkew Duration `json:"clock_skew"`
	// ConfigurationWithin is the time from the store's acknowledgement of a configuration
	// until it must be in force at every entry, LeavingWithin the same until a replica that
	// leaves must get no request.
	ConfigurationWithin Duration `json:"configuration_within"`
	LeavingWithin       Duration `json:"leaving_within"`
	// StoreReaders says who reads the store: ReadersFew has entries pass on what it says,
	// ReadersAll has each read for itself.
	StoreReaders string `json:"store_readers"`
	// QuotaWindow is the time over which the operator counts what an organisation has had run,
	// 0 where a limit is exact. Over it a limit may be exceeded by the part QuotaExcess, 0 or
	// more, and by QuotaSlack in the limit's unit.
	QuotaWindow Duration `json:"quota_window"`
	QuotaExcess float64  `json:"quota_excess"`
	QuotaSlack  float64  `json:"quota_slack"`
	// MemoryMB is what the process may use, in MB.
	MemoryMB int `json:"memory_mb"`
}

// What a direct entry's settings that don't say otherwise get.
const (
	DefaultGrace         = Duration(8 * time.Second)
	DefaultLease         = Duration(3 * time.Second)
	DefaultWeightsWithin = Duration(10 * time.Second)
	DefaultMemoryMB      = 128
	// DefaultPropagationTime is the shortest time that any deployment so far has allowed.
	DefaultPropagationTime = Duration(2 * time.Second)
	// DefaultClockSkew covers a clock that has jumped by seconds.
	DefaultClockSkew = Duration(6 * time.Second)
	// StoreReadersFew and ReadersAll are the values of StoreReaders.
	StoreReadersFew = "few"
	StoreReadersAll = "all"
	// minMemory is what an idle entry needs, in MB.
	minMemory = 32
)

func (d *Direct) fillDefaults(doc *strictjson.Document) {
	fill(doc, "direct.grace", &d.Grace, DefaultGrace)
	fill(doc, "direct.retry_share", &d.RetryShare, DefaultRetryShare)
	fill(doc, "direct.lease", &d.Lease, DefaultLease)
	fill(doc, "direct.weights_within", &d.WeightsWithin, DefaultWeightsWithin)
	fill(doc, "direct.clock_skew", &d.ClockSkew, DefaultClockSkew)
	fill(doc, "direct.configuration_within", &d.ConfigurationWithin, DefaultPropagationTime)
	fill(doc, "direct.leaving_within", &d.LeavingWithin, DefaultPropagationTime)
	fill(doc, "direct.store_readers", &d.StoreReaders, StoreReadersFew)
	fill(doc, "direct.memory_mb", &d.MemoryMB, DefaultMemoryMB)
}

// direct checks a direct entry's settings. It has no part in the fleet's inner
// protocol, so the addresses and keys for that aren't asked for.
func (c *checker) direct() {
	d := c.s.Direct
	if d == nil {
		c.doc.Add("direct", "is missing", `a part "direct" for the role`)
		return
	}
	c.listen("direct.listen", d.Listen)
	c.listen("direct.ready", d.Ready)
	c.address("direct.peers", d.Peers)
	c.address("direct.store", d.Store)
	c.positive("direct.grace", d.Grace)
	c.positive("direct.lease", d.Lease)
	c.positive("direct.weights_within", d.WeightsWithin)
	c.positive("direct.clock_skew", d.ClockSkew)
	c.positive("direct.configuration_within", d.ConfigurationWithin)
	c.positive("direct.leaving_within", d.LeavingWithin)
	c.oneOf("direct.store_readers", d.StoreReaders, []string{StoreReadersFew, StoreReadersAll})
	c.share("direct.retry_share", d.RetryShare)
	if !(d.RetryExtra >= 0) {
		c.doc.Add("direct.retry_extra", fmt.Sprintf("is %v", d.RetryExtra), "0 or more requests")
	}
	if d.QuotaWindow < 0 {
		c.doc.Add("direct.quota_window", fmt.Sprintf("is %s", d.QuotaWindow.D()), "0 or a time")
	}
	if !(d.QuotaExcess >= 0) {
		c.doc.Add("direct.quota_excess", fmt.Sprintf("is %v", d.QuotaExcess), "0 or more")
	}
	if !(d.QuotaSlack >= 0) {
		c.doc.Add("direct.quota_slack", fmt.Sprintf("is %v", d.QuotaSlack), "0 or more units")
	}
	if d.MemoryMB < minMemory {
		c.doc.Add("direct.memory_mb", fmt.Sprintf("is %d", d.MemoryMB), fmt.Sprintf("%d or more", minMemory))
	}
}
