package platform

import (
	"slices"
	"sync"
	"time"

	client "skylarklead/internal/platform"
)

// listVersion is a version of the instance list and the time of its change.
type listVersion struct {
	since time.Time
	list  []client.Instance
}

// instanceList holds the versions of the instance list. Callers see the version
// that was current LagMS ago.
type instanceList struct {
	mu       sync.Mutex
	versions []listVersion // oldest first; versions[0] is the visible one
	frozen   bool
	now      func() time.Time
}

func newInstanceList(now func() time.Time, list []client.Instance) *instanceList {
	return &instanceList{now: now, versions: []listVersion{{list: append([]client.Instance{}, list...)}}}
}

// set replaces the current list. If immediate is set, the change is visible at
// once, here and in put and remove.
func (l *instanceList) set(list []client.Instance, immediate bool) {
	l.update(immediate, func([]client.Instance) []client.Instance { return list })
}

// put adds or replaces one instance in the current list.
func (l *instanceList) put(instance client.Instance, immediate bool) {
	l.update(immediate, func(list []client.Instance) []client.Instance {
		return append(without(list, instance.ID), instance)
	})
}

// remove removes one instance from the current list.
func (l *instanceList) remove(id string, immediate bool) {
	l.update(immediate, func(list []client.Instance) []client.Instance { return without(list, id) })
}

func without(list []client.Instance, id string) []client.Instance {
	return slices.DeleteFunc(slices.Clone(list), func(i client.Instance) bool { return i.ID == id })
}

func (l *instanceList) update(immediate bool, modify func([]client.Instance) []client.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.versions[len(l.versions)-1].list
	next := listVersion{since: l.now(), list: modify(current)}
	if immediate {
		l.versions = nil
	}
	l.versions = append(l.versions, next)
}

// visible returns the list that was current lag ago, or that was visible when the
// list was frozen.
func (l *instanceList) visible(lag time.Duration) []client.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(lag)
	return l.versions[0].list
}

// freeze stops changes from becoming visible, or resumes them.
func (l *instanceList) freeze(frozen bool, lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(lag)
	l.frozen = frozen
}

func (l *instanceList) advance(lag time.Duration) {
	if l.frozen {
		return
	}
	visibleAt := l.now().Add(-lag)
	for len(l.versions) > 1 && !l.versions[1].since.After(visibleAt) {
		l.versions = l.versions[1:]
	}
}
