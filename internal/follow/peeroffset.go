package follow

import (
	"context"
	"sync"
)

// newestPeer is the highest offset that a peer reported, and how to fetch from that peer.
type newestPeer struct {
	mu     sync.Mutex
	offset uint64
	fetch  FetchFunc
	wake   chan struct{}
}

// PeerHasOffset reports that a peer has the given offset. If it is higher than that of the local
// state, the peer is asked, with one request at a time whatever the number of messages. It
// doesn't block.
func (f *Follower) PeerHasOffset(offset uint64, fetch FetchFunc) {
	if offset <= f.offset() {
		return
	}
	n := &f.newestPeer
	n.mu.Lock()
	defer n.mu.Unlock()
	if offset < n.offset {
		return
	}
	n.offset, n.fetch = offset, fetch
	select {
	case n.signal() <- struct{}{}:
	default: // followPeerOffsets is already signalled
	}
}

// signal returns the channel that wakes followPeerOffsets. n.mu must be held.
func (n *newestPeer) signal() chan struct{} {
	if n.wake == nil {
		n.wake = make(chan struct{}, 1)
	}
	return n.wake
}

// take returns and clears the highest reported offset, so that an offset which its peer doesn't
// really have can't block lower ones.
func (n *newestPeer) take() (offset uint64, fetch FetchFunc) {
	n.mu.Lock()
	defer n.mu.Unlock()
	offset, fetch = n.offset, n.fetch
	n.offset, n.fetch = 0, nil
	return offset, fetch
}

func (f *Follower) followPeerOffsets(ctx context.Context) {
	f.newestPeer.mu.Lock()
	wake := f.newestPeer.signal()
	f.newestPeer.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		}
		if f.LogReachable() {
			// The log delivers a new record to all processes at about the same time. Asking at once
			// would add a useless fetch for each change and peer.
			pause(ctx, logGrace)
		}
		if offset, fetch := f.newestPeer.take(); offset > f.offset() {
			f.tryPeer(ctx, fetch)
		}
	}
}
