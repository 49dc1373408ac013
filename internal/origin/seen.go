package origin

import "time"

// Seen records when replicas of each service were last seen with each software version. It is not safe
// for concurrent use.
type Seen struct {
	ttl      time.Duration
	services map[string]map[Software]time.Duration
}

// NewSeen returns an empty record; a version is dropped when none of its replicas was seen for ttl.
func NewSeen(ttl time.Duration) *Seen {
	return &Seen{ttl: ttl, services: make(map[string]map[Software]time.Duration)}
}

// Observe records that a replica of a service runs a version. The Unknown one isn't recorded: it is one
// of those that are.
func (s *Seen) Observe(service string, software Software, now time.Duration) {
	if software == Unknown {
		return
	}
	versions := s.services[service]
	if versions == nil {
		versions = make(map[Software]time.Duration)
		s.services[service] = versions
	}
	versions[software] = now
}

// Only returns the version of a service of which no other was seen within ttl, Unknown if there are
// several or none.
func (s *Seen) Only(service string, now time.Duration) Software {
	only := Unknown
	versions := s.services[service]
	for software, at := range versions {
		switch {
		case now-at > s.ttl:
			delete(versions, software)
		case only != Unknown:
			return Unknown
		default:
			only = software
		}
	}
	return only
}
