package spread

import (
	"fmt"
	"testing"
)

// Guards against one entry that sends to all other domains, and against gateways of two domains that don't send to each other.
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
				t.Errorf("%s sends to %s, where the gateway to it is %s", other, got, speaker)
			}
		}
		if len(tasks) != len(domains)-1 {
			t.Errorf("%s: %d gateways to four domains", d, len(tasks))
		}
	}
}

// Guards against a domain that is out of touch for good after the loss of its gateway.
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
