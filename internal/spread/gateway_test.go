package spread

import (
	"fmt"
	"testing"
	"time"
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
			if got := NewRelays(members[d], other, d, domains).Of(0, 0); got != speaker {
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
		tried[NewRelays(members, "a", "x", []string{"a", "x"}).Of(3, tries)] = true
	}
	if len(tried) != len(members) {
		t.Errorf("%d of %d entries are tried", len(tried), len(members))
	}
}

// Guards against one entry that forwards all of a digest: its datagrams would grow with replicas
// times entries, beyond the link of a small instance.
func TestNoEntryForwardsMoreAsTheFleetGrows(t *testing.T) {
	const (
		replicasPerEntry = 1.6
		replicasPerPart  = 32
		most             = 2 * maxForwardsPerSecond
	)
	for _, entries := range []int{40, 100, 300, 400, 1000, 2000} {
		domains := []string{"a", "b", "c", "d", "e"}
		members := map[string][]string{}
		for i := range entries {
			d := domains[i%len(domains)]
			members[d] = append(members[d], fmt.Sprintf("entry-%s-%d", d, i))
		}
		parts := DigestParts(int(replicasPerEntry*float64(entries)), replicasPerPart)
		forwards := map[string]float64{}
		for _, local := range domains {
			for _, remote := range domains {
				if local == remote {
					continue
				}
				relays := NewRelays(members[remote], local, remote, domains)
				for part := range parts {
					forwards[relays.Of(part, 0)] += float64(len(members[remote])) / relays.Interval().Seconds()
				}
			}
		}
		for entry, perSecond := range forwards {
			if perSecond > most {
				t.Errorf("%d entries, %d parts: %s forwards %.0f datagrams a second, at most %d", entries, parts, entry, perSecond, most)
				break
			}
		}
	}
}

// Guards against a digest interval that outgrows the validity of loads, and against one that is
// shorter than what the loads in it are refreshed in.
func TestDigestIntervalGrowsWithTheDomain(t *testing.T) {
	for members, want := range map[int]time.Duration{1: 100 * time.Millisecond, 40: 100 * time.Millisecond, 80: 200 * time.Millisecond, 400: time.Second} {
		r := Relays{ordered: make([]string, members)}
		if got := r.Interval(); got != want {
			t.Errorf("%d entries: a digest each %v, want %v", members, got, want)
		}
	}
}
