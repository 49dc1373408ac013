package admit

import "time"

const (
	// restartTime is the usual time from the end of a process until its successor serves.
	restartTime = 700 * time.Millisecond
	// rotationTime is how long a process has to serve until a balancer that probes it once a second sends it
	// new connections.
	rotationTime = time.Second
	// retryAtOnce is the Retry-After of a refusal whose caller should try again at once.
	retryAtOnce = 20 * time.Millisecond
	// honoredPart is the part of the time left for which callers honor a Retry-After at most.
	honoredPart = 3
	// rememberedFor is how long a silent peer's epochs are remembered, far longer than a datagram is under way.
	rememberedFor = time.Minute
	// maxEpochs bounds the epochs that are remembered of a peer.
	maxEpochs = 8
)

// DrainNotice is what a process that shuts down tells its peers.
type DrainNotice struct {
	// Open is how much longer it is in rotation and accepts any request, Left how much longer it is expected to
	// live; 0 says that it ends now.
	Open, Left time.Duration
}

// PeerDrains knows which of the other processes that callers may reach shut down, from their messages. Its
// times are on one clock of the process.
type PeerDrains struct {
	peers map[string]*peerDrain
}

// peerDrain is one peer. A peer that isn't draining has zero times.
type peerDrain struct {
	// current is the epoch of the last message, one of epochs. Epochs are random: their order is only known from
	// the messages.
	current *peerEpoch
	epochs  map[uint64]*peerEpoch
	heard   time.Duration
	// silent is set once the peer doesn't count as alive any more.
	silent     bool
	draining   bool
	open, ends time.Duration
}

// peerEpoch is one run of a peer's process.
type peerEpoch struct {
	seq        uint64
	firstHeard time.Duration
	ended      bool
}

// PeerOutlook is which other processes a refused caller can turn to.
type PeerOutlook struct {
	// Steady is set if one is in rotation and doesn't shut down, Open if one is in rotation and accepts any request.
	Steady, Open bool
	// Draining is set if one shuts down or has just ended.
	Draining bool
	// BackAt is when the first of those that shut down is in rotation again.
	BackAt time.Duration
}

func NewPeerDrains() *PeerDrains { return &PeerDrains{peers: make(map[string]*peerDrain)} }

// Heard records a message with a peer's notice, nil if the peer isn't draining. Messages of one epoch are
// ordered by seq; one that says that the peer ends is its epoch's last.
func (d *PeerDrains) Heard(peer string, epoch, seq uint64, notice *DrainNotice, now time.Duration) {
	p := d.peers[peer]
	if p == nil {
		p = &peerDrain{epochs: make(map[uint64]*peerEpoch)}
		d.peers[peer] = p
	}
	e := p.epochs[epoch]
	if e == nil {
		e = p.add(epoch, now)
	}
	ends := notice != nil && notice.Left == 0
	if e.ended || seq <= e.seq && !ends {
		return
	}
	e.seq, e.ended = max(e.seq, seq), ends
	if ends && p.current != nil && p.current != e {
		return // the end of another epoch says nothing about the current one
	}
	if p.silent {
		p.silent, e.firstHeard = false, now
	}
	p.current, p.heard, p.draining = e, now, notice != nil
	p.open, p.ends = 0, 0
	if notice != nil {
		p.open, p.ends = now+notice.Open, now+notice.Left
	}
}

// add adds an epoch, in place of the one that was first heard the longest ago if there are too many.
func (p *peerDrain) add(epoch uint64, now time.Duration) *peerEpoch {
	if len(p.epochs) >= maxEpochs {
		var oldest uint64
		var first *peerEpoch
		for id, e := range p.epochs {
			if e != p.current && (first == nil || e.firstHeard < first.firstHeard) {
				oldest, first = id, e
			}
		}
		delete(p.epochs, oldest)
	}
	e := &peerEpoch{firstHeard: now}
	p.epochs[epoch] = e
	return e
}

// Outlook returns which peers callers can turn to. A peer counts as alive for a time after its last message.
func (d *PeerDrains) Outlook(now, aliveFor time.Duration) PeerOutlook {
	var o PeerOutlook
	for id, p := range d.peers {
		back := p.ends + restartTime + rotationTime
		alive := now-p.heard <= aliveFor
		switch {
		case p.draining && now < back:
			o.Draining = true
			o.Open = o.Open || alive && now < p.open
			o.backAt(back)
		case !alive:
			p.silent = true
			if now-p.heard > rememberedFor {
				delete(d.peers, id)
			}
		case p.draining:
		case now < p.current.firstHeard+rotationTime:
			o.backAt(p.current.firstHeard + rotationTime)
		default:
			o.Steady, o.Open = true, true
		}
	}
	return o
}

// backAt records that a peer is in rotation from a time on.
func (o *PeerOutlook) backAt(t time.Duration) {
	if o.BackAt == 0 || t < o.BackAt {
		o.BackAt = t
	}
}

// RetryAfter is when a caller that is refused by a process that is expected to end at a time, and has a time left, should try
// again: at once if another process accepts it, else when the first one that shuts down is back, if its caller waits that long.
// A caller that doesn't may find one that has more time left than this one.
func (o PeerOutlook) RetryAfter(now, ends, callerLeft time.Duration) time.Duration {
	if o.Open || !o.Draining && o.BackAt == 0 {
		return retryAtOnce
	}
	o.backAt(ends + restartTime + rotationTime)
	if wait := o.BackAt - now; wait <= callerLeft/honoredPart {
		return max(wait, retryAtOnce)
	}
	return retryAtOnce
}
