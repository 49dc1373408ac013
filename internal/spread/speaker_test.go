package spread

import (
	"fmt"
	"testing"
)

// Guards against one entry that tells all other domains, and speakers of two domains that never meet.
func TestSpeakersOfTwoDomainsMeetAndShareTheWork(t *testing.T) {
	const each = 20
	domains := []string{"a", "b", "c", "d", "e"}
	members := map[string][]string{}
	for _, d := range domains {
		for i := range each {
			members[d] = append(members[d], fmt.Sprintf("entry-%s-%d", d, i))
		}
	}
	for _, d := range domains {
		tasks := map[string]int{}
		for _, other := range domains {
			if other == d {
				continue
			}
			speaker := Gateway(members[d], d, other, domains)
			tasks[speaker]++
			if got := RemoteGateway(members[d], other, d, domains, 0); got != speaker {
				t.Errorf("%s tells %s, where %s speaks with it", other, got, speaker)
			}
		}
		if len(tasks) != len(domains)-1 {
			t.Errorf("%s: %d entries speak with four domains", d, len(tasks))
		}
	}
}

// Guards against a domain that isn't heard of any more after the loss of its speaker.
func TestEachEntryOfADomainIsTriedAsCounterpart(t *testing.T) {
	members := []string{"x1", "x2", "x3", "x4"}
	tried := map[string]bool{}
	for tries := range len(members) {
		tried[RemoteGateway(members, "a", "x", []string{"a", "x"}, tries)] = true
	}
	if len(tried) != len(members) {
		t.Errorf("%d of %d entries are tried", len(tried), len(members))
	}
}
