package direct

import (
	"testing"
	"time"
)

// readCount returns how many reads have begun.
func (s *usesStore) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// Guards against a second read by a stream that is taken up right after one, as what that returned wasn't kept yet.
func TestAReadIsKeptBeforeItsStreamsGoOn(t *testing.T) {
	const late = 50 * time.Millisecond
	store := &usesStore{takes: late}
	e := newQueueEntry(t)
	e.platform.Store = store
	store.set(nil, useV1, useV2)
	r := e.uses.join("m")
	for store.readCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	e.uses.mu.Lock()
	// Nothing may happen meanwhile, so there is no condition to wait for.
	select {
	case <-r.done:
		t.Error("streams went on before the read was kept")
	case <-time.After(4 * late):
	}
	e.uses.mu.Unlock()
	<-r.done
	if e.uses.join("m") != nil {
		t.Error("one more read after two versions were read")
	}
}
