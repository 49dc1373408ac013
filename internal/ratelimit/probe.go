package ratelimit

import "time"

// An entry probes a limit that was not confirmed for LimitTTL, by one request. All entries that
// reach the replica could do so at once: after a lull, or because no update reaches them. So each
// has a slot of its own, by its rank for the replica, in a cycle that is as long as the slots of
// all entries together. A slot that passes unused is not kept.
const (
	// probeSlot is the length of a slot, and lowRateProbeSlot that for a limit below lowRate, in
	// requests a second: what is allowed beyond such a limit has little room besides the requests
	// that the entries may have accumulated.
	probeSlot        = time.Second
	lowRateProbeSlot = 4 * time.Second
	lowRate          = 0.5
)

// slotLength is the length of an entry's slot for probes of a limit.
func (lim *limit) slotLength() time.Duration {
	if lim.rate > 0 && lim.rate < lowRate {
		return lowRateProbeSlot
	}
	return probeSlot
}

// nextProbe returns the start of the entry's current slot, if it has sent no probe in it, or of its
// next one.
func (l *Limits) nextProbe(lim *limit, now time.Duration) time.Duration {
	length := lim.slotLength()
	first := lim.lastReceived + l.params.LimitTTL + time.Duration(lim.share.rank)*length
	if now < first {
		return first
	}
	cycle := max(l.params.LimitTTL, time.Duration(len(l.entries.Names))*length)
	slot := first + (now-first)/cycle*cycle
	if now >= slot+length || lim.probedAt >= slot {
		slot += cycle
	}
	return slot
}
