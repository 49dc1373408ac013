package platform

import (
	"slices"
	"sync"
	"time"

	client "skylarklead/internal/platform"
)

// version is a true list and since when it is true.
type version struct {
	since time.Time
	list  []client.Instance
}

// instances is the list of instances: the truth's history, of which callers are
// shown what was true a lag ago.
type instances struct {
	mu       sync.Mutex
	versions []version // oldest first; versions[0] is the one shown last
	frozen   bool
	now      func() time.Time
}

func newInstances(now func() time.Time, list []client.Instance) *instances {
	return &instances{now: now, versions: []version{{list: append([]client.Instance{}, list...)}}}
}

// set replaces the truth; at once, also what is shown.
func (i *instances) set(list []client.Instance, atOnce bool) {
	i.change(atOnce, func([]client.Instance) []client.Instance { return list })
}

// put adds or replaces one instance of the truth.
func (i *instances) put(instance client.Instance, atOnce bool) {
	i.change(atOnce, func(list []client.Instance) []client.Instance {
		return append(without(list, instance.ID), instance)
	})
}

// remove takes one instance out of the truth.
func (i *instances) remove(id string, atOnce bool) {
	i.change(atOnce, func(list []client.Instance) []client.Instance { return without(list, id) })
}

func without(list []client.Instance, id string) []client.Instance {
	return slices.DeleteFunc(slices.Clone(list), func(i client.Instance) bool { return i.ID == id })
}

func (i *instances) change(atOnce bool, f func([]client.Instance) []client.Instance) {
	i.mu.Lock()
	defer i.mu.Unlock()
	truth := i.versions[len(i.versions)-1].list
	next := version{since: i.now(), list: f(truth)}
	if atOnce {
		i.versions = nil
	}
	i.versions = append(i.versions, next)
}

// shown returns the list as it was lag ago, or as it was when it froze.
func (i *instances) shown(lag time.Duration) []client.Instance {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.advance(lag)
	return i.versions[0].list
}

// freeze stops the list that is shown from changing, or lets it go on.
func (i *instances) freeze(frozen bool, lag time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.advance(lag)
	i.frozen = frozen
}

func (i *instances) advance(lag time.Duration) {
	if i.frozen {
		return
	}
	seen := i.now().Add(-lag)
	for len(i.versions) > 1 && !i.versions[1].since.After(seen) {
		i.versions = i.versions[1:]
	}
}
