package follow

import (
	"context"
	"sync"
)

// hearsay is the newest offset that a peer was heard to have and how to ask it.
type hearsay struct {
	mu     sync.Mutex
	offset uint64
	fetch  FetchFunc
	wake   chan struct{}
}

// PeerHasOffset notes that a peer has the given offset. If that is newer than the state
// here, the peer is asked, one question at a time whatever the number of
// messages. It doesn't block.
func (f *Follower) PeerHasOffset(offset uint64, fetch FetchFunc) {
	if offset <= f.offset() {
		return
	}
	h := &f.hearsay
	h.mu.Lock()
	defer h.mu.Unlock()
	if offset < h.offset {
		return
	}
	h.offset, h.fetch = offset, fetch
	select {
	case h.signal() <- struct{}{}:
	default: // a wake-up is waiting already
	}
}

// signal returns the channel that wakes followHearsay; h.mu is held.
func (h *hearsay) signal() chan struct{} {
	if h.wake == nil {
		h.wake = make(chan struct{}, 1)
	}
	return h.wake
}

// take returns the newest hearsay and forgets it, so that an offset which its
// peer can't back up doesn't keep out lower ones.
func (h *hearsay) take() (offset uint64, fetch FetchFunc) {
	h.mu.Lock()
	defer h.mu.Unlock()
	offset, fetch = h.offset, h.fetch
	h.offset, h.fetch = 0, nil
	return offset, fetch
}

func (f *Follower) followHearsay(ctx context.Context) {
	f.hearsay.mu.Lock()
	wake := f.hearsay.signal()
	f.hearsay.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		}
		if f.LogReachable() {
			// The log brings a new record to all at about the same time. Asking at
			// once would add a fetch for each change and peer to no end.
			pause(ctx, tailGrace)
		}
		if offset, fetch := f.hearsay.take(); offset > f.offset() {
			f.askOne(ctx, fetch)
		}
	}
}
