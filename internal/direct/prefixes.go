package direct

import "skylarklead/internal/settings"

// setPrefixDonors puts the setting on donors in force.
func (e *Entry) setPrefixDonors(d *settings.Direct) {
	e.state.mu.Lock()
	defer e.state.mu.Unlock()
	e.state.picker.SetDonorRanking(d.PrefixDonors == settings.PrefixDonorsRanked)
}

// countPrefixSource records what is known of the source that a replica is told to fetch a prefix
// from, and counts it with the tokens that the replica is expected to lack. donor is the replica
// named as the source, "" for a store or none.
func (req *request) countPrefixSource(p *placement, donor string) {
	if len(req.query.Levels) == 0 {
		return
	}
	m := req.entry.tel.Metrics
	m.Count("prefix_missing_tokens", int64(p.choice.MissingTokens))
	switch {
	case p.fetchFrom == "":
		m.Count("prefix_fetches_none", 1)
	case donor == "":
		m.Count("prefix_fetches_store", 1)
	case p.choice.DonorTokens > 0:
		p.fetchTokens = p.choice.DonorTokens
		m.Count("prefix_fetches_known_donor", 1)
	default:
		m.Count("prefix_fetches_guessed_donor", 1)
	}
}
