package config

import (
	"fmt"
	"maps"
	"slices"
)

// DanglingReferences describes, sorted, the references to records that aren't in
// force. They are allowed, because operators may publish the two records in either
// order.
func (s *State) DanglingReferences() []string {
	var dangling []string
	add := func(kind Kind, key string, targetKind Kind, target string) {
		dangling = append(dangling, fmt.Sprintf("%s refers to %s, which isn't in force", name(kind, key), name(targetKind, target)))
	}
	for id, o := range s.Organisations {
		for _, m := range slices.Sorted(maps.Keys(o.Models)) {
			if s.Models[m] == nil {
				add(KindOrganisation, id, KindModel, m)
			}
		}
		for _, service := range o.Services {
			if s.Services[service] == nil {
				add(KindOrganisation, id, KindService, service)
			}
		}
	}
	for id, m := range s.Models {
		if s.Groups[m.Group] == nil {
			add(KindModel, id, KindGroup, m.Group)
		}
	}
	for id, service := range s.Services {
		if s.Groups[service.Group] == nil {
			add(KindService, id, KindGroup, service.Group)
		}
	}
	slices.Sort(dangling)
	return dangling
}
