package ctl

import (
	"path/filepath"
	"testing"

	"skylarklead/internal/config"
	"skylarklead/internal/settings"
)

func TestExampleSettings(t *testing.T) {
	paths, err := filepath.Glob("../../examples/*/*.json")
	if err != nil {
		t.Fatal(err)
	}
	checked := 0
	for _, path := range paths {
		if filepath.Base(path) == "records.json" || filepath.Base(filepath.Dir(path)) == "workloads" {
			continue
		}
		checked++
		if _, err := settings.Load(path); err != nil {
			t.Error(err)
		}
	}
	if checked < 6 {
		t.Errorf("only %d settings files found", checked)
	}
}

// Every example record is accepted on an empty log, and nothing dangles.
func TestExampleRecords(t *testing.T) {
	for _, deployment := range []string{"huon-ledger", "nakhla"} {
		sources, err := readFile("../../examples/" + deployment + "/records.json")
		if err != nil {
			t.Fatal(err)
		}
		results, err := prepare(config.NewState(), sources, "test")
		if err != nil {
			t.Fatal(err)
		}
		s := config.NewState()
		for i, r := range results {
			s, _ = s.Apply(uint64(i+1), r.encoded)
		}
		if len(s.Organisations) != 8 {
			t.Errorf("%s has %d organisations", deployment, len(s.Organisations))
		}
		for _, o := range s.Organisations {
			checkReferences(t, s, o)
		}
		for _, m := range s.Models {
			if s.Groups[m.Group] == nil {
				t.Errorf("model %s: no group %s", m.ID, m.Group)
			}
		}
		for _, v := range s.Services {
			if s.Groups[v.Group] == nil {
				t.Errorf("service %s: no group %s", v.ID, v.Group)
			}
		}
	}
}

func checkReferences(t *testing.T, s *config.State, o *config.Organisation) {
	t.Helper()
	for m := range o.Models {
		if s.Models[m] == nil {
			t.Errorf("organisation %s: no model %s", o.ID, m)
		}
	}
	for _, v := range o.Services {
		if s.Services[v] == nil {
			t.Errorf("organisation %s: no service %s", o.ID, v)
		}
	}
}
