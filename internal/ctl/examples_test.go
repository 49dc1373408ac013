package ctl

import (
	"path/filepath"
	"testing"

	"skylarklead/internal/config"
	"skylarklead/internal/settings"
	"skylarklead/test/kit"
)

func TestExampleSettings(t *testing.T) {
	paths := kit.Must(filepath.Glob("../../examples/*/*.json"))(t)
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

// Every example record is accepted on an empty log and refers only to records
// that exist.
func TestExampleRecords(t *testing.T) {
	for _, deployment := range []string{"huon-ledger", "nakhla"} {
		sources := kit.Must(readFile("../../examples/" + deployment + "/records.json"))(t)
		_, s, err := prepare(config.NewState(), sources, "test")
		if err != nil {
			t.Fatal(err)
		}
		if len(s.Organisations) != 8 {
			t.Errorf("%s has %d organisations", deployment, len(s.Organisations))
		}
		if dangling := s.DanglingReferences(); len(dangling) > 0 {
			t.Errorf("%s: %v", deployment, dangling)
		}
	}
}
