package endpoint

import (
	"strings"
	"testing"

	"skylarklead/internal/platform"
	"skylarklead/internal/protocol"
	"skylarklead/internal/settings"
	"skylarklead/test/kit"
)

// Guards against a process that ends, or a request that doesn't run, because the instance list has a member whose port is out
// of range, and against a malformed entry that nobody learns of.
func TestMembersWithAPortOutOfRange(t *testing.T) {
	self := platform.Instance{ID: "ep-1", Role: platform.RoleEndpoint, Address: freeAddress(t), Group: "g", State: platform.StateLive}
	list := []platform.Instance{self}
	for _, port := range []string{"65536", "-1", "http", strings.Repeat("9", 400)} {
		odd := self
		odd.ID, odd.Address = "odd-"+port[:2], "127.0.0.1:"+port
		list = append(list, odd)
	}
	services := platformOf(t, append(list, platform.Instance{Role: platform.RoleEndpoint, Address: "127.0.0.1:1", Group: "g"}))
	f := newFakeEngine(t, "a ", "b ")
	p := startProcess(t, f.URL, func(s *settings.Settings) { s.ID, s.Listen, s.Platform = self.ID, self.Address, services })
	n := p.dial("entry-1")
	kit.Until(t, "the members are known", func() bool { return len(n.status().Members) >= len(list)-1 })
	n.send(chat(1))
	n.want(0, "a b ", protocol.Done)
	kit.Until(t, "the entry without an id is logged", func() bool { return strings.Contains(p.log.take(), "instances of the list skipped") })
	select {
	case err := <-p.ended:
		t.Errorf("the process ended: %v", err)
	default:
	}
}
