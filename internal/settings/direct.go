package settings

import (
	"fmt"
	"time"

	"skylarklead/internal/strictjson"
)

// Direct has the settings of the role direct: an entry that dispatches requests
// directly to replicas, on a platform where no endpoint process runs beside them.
type Direct struct {
	// Listen is "ip:port" for callers. Ready is "ip:port" for the platform's
	// readiness probes, which ask whether the entry takes new connections.
	Listen string `json:"listen"`
	Ready  string `json:"ready"`
	// Peers is "ip:port", over UDP, for messages of the other direct entries.
	Peers string `json:"peers"`
	// Store is "ip:port" of the platform's store.
	Store string `json:"store"`
	// Grace is the time from SIGTERM until the process is killed.
	Grace Duration `json:"grace"`
	// RetryShare and RetryExtra bound the retries that all entries together send to
	// one service over a period of any length: RetryShare, 0 to 1, of its requests
	// plus RetryExtra requests.
	RetryShare float64 `json:"retry_share"`
	RetryExtra float64 `json:"retry_extra"`
	// RetryWindow is the period over which the operator counts retries, 0 if the bound
	// holds over a period of any length. The requests of the period before may count.
	RetryWindow Duration `json:"retry_window"`
	// Lease is the time by which the orders of two successive lease holders must be
	// apart, so that their terms never overlap. FencesChecked says that replicas
	// themselves refuse the orders of a former holder.
	Lease         Duration `json:"lease"`
	FencesChecked bool     `json:"fences_checked"`
	// WeightsWithin is the time from the announcement of a version of weights until
	// no request may begin on an older one.
	WeightsWithin Duration `json:"weights_within"`
	// ClockSkew bounds the difference between the clocks of two instances.
	ClockSkew Duration `json:"clock_skew"`
	// ConfigurationWithin is the time from the store's acknowledgement of a
	// configuration until it must be in force at every entry. LeavingWithin is the
	// time from the acknowledgement that a replica leaves until no entry may send it
	// a request.
	ConfigurationWithin Duration `json:"configuration_within"`
	LeavingWithin       Duration `json:"leaving_within"`
	// StoreReaders says which entries read the store: with StoreReadersFew a few
	// read it and forward what they read to the others, with StoreReadersAll each
	// reads it.
	StoreReaders string `json:"store_readers"`
	// PrefixDonors says from which of the replicas that hold the shared part of a prompt another
	// one fetches it: with PrefixDonorsFirst from the first, with PrefixDonorsRanked from the
	// best, and a replica is trusted to hold it by the whole of its memory.
	PrefixDonors string `json:"prefix_donors"`
	// QuotaWindow is the period over which the operator counts an organisation's
	// usage, 0 if quotas are exact. Over it, usage may exceed a quota by the fraction
	// QuotaExcess, 0 or more, plus QuotaSlack in the quota's unit.
	QuotaWindow Duration `json:"quota_window"`
	QuotaExcess float64  `json:"quota_excess"`
	QuotaSlack  float64  `json:"quota_slack"`
	// RefuseByForecast says that a waiting request is refused as soon as its turn is expected only
	// after its time, and told when there will be room; otherwise it waits until its time is over.
	RefuseByForecast bool `json:"refuse_by_forecast"`
	// RunBackups makes engines that offer it keep backups of the runs of streams that
	// may run only once, from which they go on after the loss of their replica.
	RunBackups bool `json:"run_backups"`
	// StreamLifetime is how long after its beginning callers may still take a stream up.
	StreamLifetime Duration `json:"stream_lifetime"`
	// MemoryMB is the memory that the process may use.
	MemoryMB int `json:"memory_mb"`
}

// Defaults of the settings of a direct entry, and values of StoreReaders and PrefixDonors.
const (
	DefaultGrace         = Duration(8 * time.Second)
	DefaultLease         = Duration(3 * time.Second)
	DefaultWeightsWithin = Duration(10 * time.Second)
	DefaultMemoryMB      = 128
	// DefaultPropagationTime is the default of ConfigurationWithin and LeavingWithin:
	// the shortest bound that deployments have required.
	DefaultPropagationTime = Duration(2 * time.Second)
	// DefaultClockSkew covers clocks that jump by several seconds.
	DefaultClockSkew = Duration(6 * time.Second)
	// DefaultStreamLifetime is longer than callers keep trying.
	DefaultStreamLifetime = Duration(time.Minute)
	// StoreReadersFew and StoreReadersAll are the values of StoreReaders.
	StoreReadersFew = "few"
	StoreReadersAll = "all"
	// PrefixDonorsFirst and PrefixDonorsRanked are the values of PrefixDonors.
	PrefixDonorsFirst  = "first"
	PrefixDonorsRanked = "ranked"
	// minMemoryMB is the memory that an idle entry needs.
	minMemoryMB = 32
)

func (d *Direct) fillDefaults(doc *strictjson.Document) {
	setDefault(doc, "direct.grace", &d.Grace, DefaultGrace)
	setDefault(doc, "direct.retry_share", &d.RetryShare, DefaultRetryShare)
	setDefault(doc, "direct.lease", &d.Lease, DefaultLease)
	setDefault(doc, "direct.weights_within", &d.WeightsWithin, DefaultWeightsWithin)
	setDefault(doc, "direct.clock_skew", &d.ClockSkew, DefaultClockSkew)
	setDefault(doc, "direct.configuration_within", &d.ConfigurationWithin, DefaultPropagationTime)
	setDefault(doc, "direct.leaving_within", &d.LeavingWithin, DefaultPropagationTime)
	setDefault(doc, "direct.store_readers", &d.StoreReaders, StoreReadersFew)
	setDefault(doc, "direct.prefix_donors", &d.PrefixDonors, PrefixDonorsFirst)
	setDefault(doc, "direct.stream_lifetime", &d.StreamLifetime, DefaultStreamLifetime)
	setDefault(doc, "direct.memory_mb", &d.MemoryMB, DefaultMemoryMB)
}

// checkDirect checks the settings of a direct entry. It doesn't take part in the
// sessions between entries and endpoints, so it needs no addresses and keys for them.
func (c *checker) checkDirect() {
	d := c.settings.Direct
	if d == nil {
		c.doc.Add("direct", "is missing", `a section "direct" for the role`)
		return
	}
	c.listenAddress("direct.listen", d.Listen)
	c.listenAddress("direct.ready", d.Ready)
	c.address("direct.peers", d.Peers)
	c.address("direct.store", d.Store)
	c.positive("direct.grace", d.Grace)
	c.positive("direct.lease", d.Lease)
	c.positive("direct.weights_within", d.WeightsWithin)
	c.positive("direct.clock_skew", d.ClockSkew)
	c.positive("direct.configuration_within", d.ConfigurationWithin)
	c.positive("direct.leaving_within", d.LeavingWithin)
	c.positive("direct.stream_lifetime", d.StreamLifetime)
	c.oneOf("direct.store_readers", d.StoreReaders, []string{StoreReadersFew, StoreReadersAll})
	c.oneOf("direct.prefix_donors", d.PrefixDonors, []string{PrefixDonorsFirst, PrefixDonorsRanked})
	c.fraction("direct.retry_share", d.RetryShare)
	if !(d.RetryExtra >= 0) {
		c.doc.Add("direct.retry_extra", fmt.Sprintf("is %v", d.RetryExtra), "0 or more requests")
	}
	if d.RetryWindow < 0 {
		c.doc.Add("direct.retry_window", fmt.Sprintf("is %s", d.RetryWindow.D()), "0 or a time")
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
	if d.MemoryMB < minMemoryMB {
		c.doc.Add("direct.memory_mb", fmt.Sprintf("is %d", d.MemoryMB), fmt.Sprintf("%d or more", minMemoryMB))
	}
}
