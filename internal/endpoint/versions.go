package endpoint

import (
	"maps"
	"slices"

	"skylarklead/internal/protocol"
	"skylarklead/internal/route"
)

// fallbackVersion returns the version to be used by a request that named none instead
// of the configured one, or "" for the configured one.
//
// When a model's record changes its version, a few engines at a time load the new
// weights. If all requests asked for the new version from the first moment, they would
// find no engine, and then crowd on the first few that have it, which shows as
// refusals and a long time to first token until the last one has loaded. So the old
// version serves until half of the group has the new one.
func (e *Endpoint) fallbackVersion(ask *protocol.Ask, endpoints []route.Endpoint) string {
	if !ask.AnyVersion {
		return ""
	}
	counts := make(map[string]int)
	total := 0
	for i := range endpoints {
		if version := servedVersion(ask.Model, &endpoints[i]); version != "" && e.mayUseVersion(ask, version) {
			counts[version]++
			total++
		}
	}
	if 2*counts[ask.Version] >= total {
		return ""
	}
	best := ""
	for _, version := range slices.Sorted(maps.Keys(counts)) {
		if version != ask.Version && (best == "" || counts[version] > counts[best]) {
			best = version
		}
	}
	return best
}

// servedVersion is the version of a model that an endpoint would run now, or "".
func servedVersion(model string, e *route.Endpoint) string {
	if !e.Alive || e.Leaving || !e.HasLoad || !e.Load.EngineUp || e.Load.Model != model {
		return ""
	}
	return e.Load.Version
}

// mayUseVersion reports whether the configuration lets an organisation use a version. Before the first
// configuration it is left to the entry, which checks it too.
func (e *Endpoint) mayUseVersion(ask *protocol.Ask, version string) bool {
	if e.config.State() == nil {
		return true
	}
	model := e.state().Models[ask.Model]
	organisation := e.state().Organisations[ask.Organisation]
	return model != nil && organisation != nil &&
		slices.Contains(model.Versions, version) && organisation.Allows(ask.Model, version)
}

// suggestVersion refuses to place a request under the version that it asked for, and
// names the version to ask for.
func (e *Endpoint) suggestVersion(ask *protocol.Ask, version string) *protocol.Decision {
	return &protocol.Decision{
		Request: ask.Request,
		Owner:   e.settings.ID,
		Reason:  "other_version",
		Version: version,
		Refusal: &protocol.Refusal{
			Code:         protocol.CodeNoEndpoint,
			Message:      "most of the group has version " + version,
			Ran:          protocol.NotRun,
			RetryAfterMs: drainRetryAfter.Milliseconds(),
		},
		Unavailable:  e.unavailable(),
		ConfigOffset: e.state().Offset,
	}
}
