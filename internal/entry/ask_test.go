package entry

import (
	"testing"

	"skylarklead/internal/config"
)

// Guards against a version that the configuration has withdrawn, suggested by an owner without one.
func TestSuggestedVersionIsChecked(t *testing.T) {
	organisation := &config.Organisation{Models: map[string][]string{"m": {"v0", "v1", "v2"}}}
	state := &config.State{Models: map[string]*config.Model{"m": {ID: "m", Versions: []string{"v1", "v2", "v3"}, Version: "v2"}}}
	for _, c := range []struct {
		name, version string
		named, want   bool
	}{
		{"another version of the model", "v1", false, true},
		{"a version that the model doesn't have", "v0", false, false},
		{"a version that the organisation may not use", "v3", false, false},
		{"the same version", "v2", false, false},
		{"no version", "", false, false},
		{"the caller named one", "v1", true, false},
	} {
		j := &job{request: &request{state: state, organisation: organisation}, model: "m", version: "v2", anyVersion: !c.named}
		if got := j.mayUseVersion(c.version); got != c.want {
			t.Errorf("%s: got %t", c.name, got)
		}
	}
}
