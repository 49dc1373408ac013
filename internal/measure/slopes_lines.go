package measure

import (
	"math"

	"skylarklead/internal/member"
)

// Factors from base units to those of the table.
const (
	micro = 1e6 // seconds to microseconds, or cores to millionths of a core
	milli = 1e3
	kilo  = 1e-3
)

// pointsFiles has the lines for docs/CAPACITY.md, by file.
var pointsFiles = []pointsFile{
	newPointsFile("group", groupLines...),
	newPointsFile("request", requestLines...),
	newPointsFile("stream", streamLines...),
	newPointsFile("token", tokenLines...),
	newPointsFile("session", sessionLines...),
	newPointsFile("configuration", configurationLines...),
	newPointsFile("start", startLines...),
	newPointsFile("platform", platformLines...),
	newPointsFile("claims", claimLines...),
	newPointsFile("spread", spreadLines...),
}

// idleGroup picks y by the number of peers, for groups without load.
func idleGroup(y func(SlopePoint) float64) func(SlopePoint) (float64, float64, bool) {
	return func(p SlopePoint) (float64, float64, bool) { return float64(p.Members - 1), y(p), p.Rate == 0 }
}

// perHeartbeat picks y by the number of heartbeats that a member sends and receives
// per second, for groups without load. A member sends one to each peer, up to
// PeersPerInterval.
func perHeartbeat(y func(SlopePoint) float64) func(SlopePoint) (float64, float64, bool) {
	pick := idleGroup(y)
	return func(p SlopePoint) (float64, float64, bool) {
		x, y, ok := pick(p)
		return min(x, float64(member.DefaultParams.PeersPerInterval)), y, ok
	}
}

var groupLines = []lineSpec[SlopePoint]{
	{"endpoint, sessions, wire", "B/s", "heartbeat/s each way", perHeartbeat(func(p SlopePoint) float64 { return p.Endpoint.Sessions.Mean })},
	{"endpoint, control frames", "B/s", "heartbeat/s each way", perHeartbeat(func(p SlopePoint) float64 {
		return p.Endpoint.ControlSent.Mean + p.Endpoint.ControlReceived.Mean
	})},
	{"endpoint, processor", "µs/s", "peer", idleGroup(func(p SlopePoint) float64 { return micro * p.Endpoint.CPU.Mean })},
	{"entry, processor", "µs/s", "peer", idleGroup(func(p SlopePoint) float64 { return micro * p.Entry.CPU.Mean })},
	{"entry, Ask and Decision, frames", "B", "request", func(p SlopePoint) (float64, float64, bool) {
		return p.Requests / p.Seconds, p.Entry.ControlSent.Mean + p.Entry.ControlReceived.Mean, p.Rate > 0
	}},
}

// shortAnswers picks y by the request rate, for the points that differ in it;
// longAnswers picks y by the token rate, for the points that differ in that.
func shortAnswers(y func(SlopePoint) float64) func(SlopePoint) (float64, float64, bool) {
	return func(p SlopePoint) (float64, float64, bool) { return p.Requests / p.Seconds, y(p), p.AnswerTokens == 4 }
}

func longAnswers(y func(SlopePoint) float64) func(SlopePoint) (float64, float64, bool) {
	return func(p SlopePoint) (float64, float64, bool) { return p.Tokens / p.Seconds, y(p), p.AnswerTokens > 4 }
}

func entryCPUMicros(p SlopePoint) float64 { return micro * p.Entry.CPU.Mean }

func endpointCPUMicros(p SlopePoint) float64 { return micro * p.Endpoint.CPU.Mean * float64(p.Members) }

var requestLines = []lineSpec[SlopePoint]{
	{"entry, processor, answers of 4 tokens", "µs", "request", shortAnswers(entryCPUMicros)},
	{"endpoints, processor, answers of 4 tokens", "µs", "request", shortAnswers(endpointCPUMicros)},
	{"entry, processor", "µs", "token", longAnswers(entryCPUMicros)},
	{"endpoints, processor", "µs", "token", longAnswers(endpointCPUMicros)},
	{"entry, sessions, wire", "B", "token", longAnswers(func(p SlopePoint) float64 { return p.Entry.Sessions.Mean })},
}

func unqueuedStreams(y func(SlopePoint) float64) func(SlopePoint) (float64, float64, bool) {
	return func(p SlopePoint) (float64, float64, bool) { return p.InFlight, y(p), p.CacheTokens > 0 }
}

var streamLines = []lineSpec[SlopePoint]{
	{"entry, RSS", "KB", "open stream", unqueuedStreams(func(p SlopePoint) float64 { return kilo * p.Entry.RSS.Mean })},
	{"endpoints, RSS of all four", "KB", "open stream", unqueuedStreams(func(p SlopePoint) float64 {
		return kilo * p.Endpoint.RSS.Mean * float64(p.Members)
	})},
}

func perToken(y func(TokenPoint) float64) func(TokenPoint) (float64, float64, bool) {
	return func(p TokenPoint) (float64, float64, bool) { return float64(p.Tokens) / p.Seconds, y(p), true }
}

var tokenLines = []lineSpec[TokenPoint]{
	{"entry, processor", "µs", "token", perToken(func(p TokenPoint) float64 { return micro * p.EntryCPU })},
	{"endpoint, processor", "µs", "token", perToken(func(p TokenPoint) float64 { return micro * p.EndpointCPU })},
	{"entry, sessions, wire", "B", "token", perToken(func(p TokenPoint) float64 { return p.Sessions })},
}

func perSession(awaited bool, y func(SessionPoint) float64) func(SessionPoint) (float64, float64, bool) {
	return func(p SessionPoint) (float64, float64, bool) { return float64(p.Sessions), y(p), p.Awaited == awaited }
}

var sessionLines = []lineSpec[SessionPoint]{
	{"accepting side, RSS", "KB", "session", perSession(false, func(p SessionPoint) float64 { return kilo * p.RSS })},
	{"opening, wire", "B", "session", perSession(false, func(p SessionPoint) float64 { return p.OpenBytes * float64(p.Sessions) })},
	{"opening, processor of the accepting side", "µs", "session", perSession(false, func(p SessionPoint) float64 {
		return micro * p.OpenCPU * float64(p.Sessions)
	})},
	{"idle, wire", "B/s", "session", perSession(false, func(p SessionPoint) float64 { return p.Idle * float64(p.Sessions) })},
	{"idle, processor of the accepting side", "µs/s", "session", perSession(false, func(p SessionPoint) float64 { return micro * p.CPU })},
	{"awaited, wire", "B/s", "session", perSession(true, func(p SessionPoint) float64 { return p.Idle * float64(p.Sessions) })},
}

// slopeInstructions is the size of instructions, in bytes, of the points to which
// lines by organisations are fitted.
const slopeInstructions = 4 << 10

func perOrganisation(y func(ConfigurationPoint) float64) func(ConfigurationPoint) (float64, float64, bool) {
	return func(p ConfigurationPoint) (float64, float64, bool) {
		return float64(p.Organisations), y(p), p.Instructions == slopeInstructions
	}
}

var configurationLines = []lineSpec[ConfigurationPoint]{
	{"heap", "B", "organisation", perOrganisation(func(p ConfigurationPoint) float64 { return float64(p.StateBytes) })},
	{"encoded", "B", "organisation", perOrganisation(func(p ConfigurationPoint) float64 { return float64(p.Encoded) })},
	{"apply all, time", "µs", "organisation", perOrganisation(func(p ConfigurationPoint) float64 { return micro * p.ApplyAll })},
	{"encode, time", "µs", "organisation", perOrganisation(func(p ConfigurationPoint) float64 { return micro * p.Encode })},
	{"decode, time", "µs", "organisation", perOrganisation(func(p ConfigurationPoint) float64 { return micro * p.Decode })},
	{"apply one, time", "µs", "organisation", perOrganisation(func(p ConfigurationPoint) float64 { return micro * p.ApplyOne })},
}

func perStart(y func(StartPoint) float64) func(StartPoint) (float64, float64, bool) {
	return func(p StartPoint) (float64, float64, bool) {
		return float64(p.Organisations), y(p), p.Instructions == slopeInstructions && p.Failed == ""
	}
}

func perRestart(y func(Restart) float64) func(StartPoint) (float64, float64, bool) {
	return perStart(func(p StartPoint) float64 { return meanOf(p.Restarts, y) })
}

func meanOf[T any](all []T, y func(T) float64) (mean float64) {
	for _, one := range all {
		mean += y(one) / float64(len(all))
	}
	return mean
}

var startLines = []lineSpec[StartPoint]{
	{"entry after a start, RSS", "B", "organisation", perStart(func(p StartPoint) float64 { return p.EntryRSS })},
	{"endpoint after a start, RSS", "B", "organisation", perStart(func(p StartPoint) float64 { return p.EndpointRSS })},
	{"entry, start from the log, processor", "µs", "organisation", perStart(func(p StartPoint) float64 { return micro * p.EntryCPUSeconds })},
	{"entry, start from the log, wire", "B", "organisation", perStart(func(p StartPoint) float64 { return p.EntryPlatform })},
	{"entry, change, wire", "B", "organisation", perStart(func(p StartPoint) float64 { return p.ChangePlatform })},
	{"restarted entry, first answer (wall)", "µs", "organisation", perRestart(func(r Restart) float64 { return micro * r.First })},
	{"restarted entry, whole (wall)", "µs", "organisation", perRestart(func(r Restart) float64 { return micro * r.Whole })},
	{"restarted entry, from peers, wire", "B", "organisation", perRestart(func(r Restart) float64 { return r.Peers })},
	{"restarted entry, from the log, wire", "B", "organisation", perRestart(func(r Restart) float64 { return r.Platform })},
	{"restarted entry, processor", "µs", "organisation", perRestart(func(r Restart) float64 { return micro * r.CPU })},
}

func perInstance(y func(PlatformPoint) float64) func(PlatformPoint) (float64, float64, bool) {
	return func(p PlatformPoint) (float64, float64, bool) { return float64(p.Instances), y(p), true }
}

var platformLines = []lineSpec[PlatformPoint]{
	{"list, changed, wire", "B", "instance", perInstance(func(p PlatformPoint) float64 { return p.ListBytes })},
	{"list, unchanged, wire", "B", "instance", perInstance(func(p PlatformPoint) float64 { return p.ListUnchanged })},
	{"list, changed, processor", "µs", "instance", perInstance(func(p PlatformPoint) float64 { return micro * p.ListSeconds })},
	{"list, unchanged, processor", "µs", "instance", perInstance(func(p PlatformPoint) float64 { return micro * p.ListUnchangedSeconds })},
	{"record to all waiting readers (wall)", "µs", "reader", perInstance(func(p PlatformPoint) float64 { return micro * p.Spread })},
}

func perKey(y func(ClaimPoint) float64) func(ClaimPoint) (float64, float64, bool) {
	return func(p ClaimPoint) (float64, float64, bool) { return p.Rate, y(p), true }
}

var claimLines = []lineSpec[ClaimPoint]{
	{"appends", "1/s", "key/s", perKey(func(p ClaimPoint) float64 { return float64(p.Records) / p.Seconds })},
	{"bytes on the log", "B/s", "key/s", perKey(func(p ClaimPoint) float64 { return float64(p.Bytes) / p.Seconds })},
	{"reads of each member, wire", "B/s", "key/s", perKey(func(p ClaimPoint) float64 { return p.Endpoint.Platform.Median })},
	{"processor of each member", "µs/s", "key/s", perKey(func(p ClaimPoint) float64 { return micro * p.Endpoint.CPU.Median })},
}

// perDaemons picks the mean y of repeated measurements by the number of daemons.
// logDaemons picks it by the binary logarithm of that number, for propagation from
// peer to peer.
func perDaemons[T any](of func(PropagationPoint) []T, y func(T) float64) func(PropagationPoint) (float64, float64, bool) {
	return func(p PropagationPoint) (float64, float64, bool) {
		return float64(p.Daemons), meanOf(of(p), y), p.Failed == ""
	}
}

func logDaemons[T any](of func(PropagationPoint) []T, y func(T) float64) func(PropagationPoint) (float64, float64, bool) {
	pick := perDaemons(of, y)
	return func(p PropagationPoint) (float64, float64, bool) {
		x, y, ok := pick(p)
		return math.Log2(x), y, ok
	}
}

func byLog(p PropagationPoint) []Propagation    { return p.Log }
func byPeers(p PropagationPoint) []Propagation  { return p.Peers }
func herdsWithLog(p PropagationPoint) []Herd    { return p.Herd }
func herdsWithoutLog(p PropagationPoint) []Herd { return p.HerdCut }

var spreadLines = []lineSpec[PropagationPoint]{
	{"a change in force at all, by the log (wall)", "ms", "daemon", perDaemons(byLog, func(s Propagation) float64 { return milli * s.All })},
	{"a change, wire bytes of each", "B", "daemon", perDaemons(byLog, func(s Propagation) float64 { return s.Bytes })},
	{"a change in force at all, by peers (wall)", "ms", "doubling of daemons", logDaemons(byPeers, func(s Propagation) float64 { return milli * s.All })},
	{"a change by peers, wire bytes of each", "B", "doubling of daemons", logDaemons(byPeers, func(s Propagation) float64 { return s.Bytes })},
	{"a quarter restarted, all serve (wall)", "ms", "daemon", perDaemons(herdsWithLog, func(h Herd) float64 { return milli * h.All })},
	{"a quarter restarted, wire from the log, each", "B", "daemon", perDaemons(herdsWithLog, func(h Herd) float64 { return h.Platform })},
	{"a quarter restarted, wire with peers, each", "B", "daemon", perDaemons(herdsWithLog, func(h Herd) float64 { return h.Peers })},
	{"the same without the log, all serve (wall)", "ms", "daemon", perDaemons(herdsWithoutLog, func(h Herd) float64 { return milli * h.All })},
	{"the same without the log, wire with peers, each", "B", "daemon", perDaemons(herdsWithoutLog, func(h Herd) float64 { return h.Peers })},
}
