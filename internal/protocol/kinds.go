package protocol

// Kind is the number of a message type on the wire. Numbers are never reused for
// another type.
type Kind uint8

const (
	KindChallenge Kind = iota + 1
	KindHello
	KindWelcome
	KindAsk
	KindDecision
	KindRun
	KindStart
	KindChunk
	KindEnd
	KindCredit
	KindCancel
	KindResume
	KindResolve
	KindResolved
	KindHeartbeat
	KindConfigFetch
	KindConfigState
	KindStatusRequest
	KindStatus
	KindExplainRequest
	KindExplanation
	KindDrain
	KindDrained
	KindFailure
	KindExport
	KindExported

	KindLast = KindExported
)

func (*Challenge) Kind() Kind      { return KindChallenge }
func (*Hello) Kind() Kind          { return KindHello }
func (*Welcome) Kind() Kind        { return KindWelcome }
func (*Ask) Kind() Kind            { return KindAsk }
func (*Decision) Kind() Kind       { return KindDecision }
func (*Run) Kind() Kind            { return KindRun }
func (*Start) Kind() Kind          { return KindStart }
func (*Chunk) Kind() Kind          { return KindChunk }
func (*End) Kind() Kind            { return KindEnd }
func (*Credit) Kind() Kind         { return KindCredit }
func (*Cancel) Kind() Kind         { return KindCancel }
func (*Resume) Kind() Kind         { return KindResume }
func (*Resolve) Kind() Kind        { return KindResolve }
func (*Resolved) Kind() Kind       { return KindResolved }
func (*Heartbeat) Kind() Kind      { return KindHeartbeat }
func (*ConfigFetch) Kind() Kind    { return KindConfigFetch }
func (*ConfigState) Kind() Kind    { return KindConfigState }
func (*StatusRequest) Kind() Kind  { return KindStatusRequest }
func (*Status) Kind() Kind         { return KindStatus }
func (*ExplainRequest) Kind() Kind { return KindExplainRequest }
func (*Explanation) Kind() Kind    { return KindExplanation }
func (*Drain) Kind() Kind          { return KindDrain }
func (*Drained) Kind() Kind        { return KindDrained }
func (*Failure) Kind() Kind        { return KindFailure }
func (*Export) Kind() Kind         { return KindExport }
func (*Exported) Kind() Kind       { return KindExported }
