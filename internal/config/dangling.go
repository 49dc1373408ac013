package config

import (
	"fmt"
	"maps"
	"slices"
)

// DanglingReferences lists, in words, the references to what isn't in force. They are
// allowed: two operators may publish the two ends in either order.
func (s *State) DanglingReferences() []string {
	var all []string
	missing := func(kind Kind, key string, refers Kind, to string) {
		all = append(all, fmt.Sprintf("%s refers to %s, which isn't in force", name(kind, key), name(refers, to)))
	}
	for id, o := range s.Organisations {
		for _, m := range slices.Sorted(maps.Keys(o.Models)) {
			if s.Models[m] == nil {
				missing(KindOrganisation, id, KindModel, m)
			}
		}
		for _, v := range o.Services {
			if s.Services[v] == nil {
				missing(KindOrganisation, id, KindService, v)
			}
		}
	}
	for id, m := range s.Models {
		if s.Groups[m.Group] == nil {
			missing(KindModel, id, KindGroup, m.Group)
		}
	}
	for id, v := range s.Services {
		if s.Groups[v.Group] == nil {
			missing(KindService, id, KindGroup, v.Group)
		}
	}
	slices.Sort(all)
	return all
}
