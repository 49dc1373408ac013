package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestExitCodes(t *testing.T) {
	good := filepath.Join("..", "..", "examples", "huon-ledger", "entry.json")
	text, err := os.ReadFile(good)
	if err != nil {
		t.Fatal(err)
	}
	bad := filepath.Join(t.TempDir(), "entry.json")
	if err := os.WriteFile(bad, bytes.Replace(text, []byte("hedge_after"), []byte("hedge_afer"), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name string
		args []string
		want int
		says string
	}{
		{"good settings", []string{"--config", good, "--check"}, exitOK, "settings are good"},
		{"bad settings", []string{"--config", bad, "--check"}, exitUsage, `want "hedge_after"?`},
		{"no such file", []string{"--config", bad + "x"}, exitUsage, "no such file"},
		{"no settings", nil, exitUsage, "--config FILE is missing"},
		{"no value", []string{"--config"}, exitUsage, "needs an argument"},
		{"unknown flag", []string{"--confg", good}, exitUsage, "-confg"},
		{"an argument", []string{"--config", good, "--check", "entry"}, exitUsage, `unexpected argument "entry"`},
		{"help", []string{"--help"}, exitOK, "Exit codes"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			got := execute(t.Context(), append([]string{"skylarkd"}, tt.args...), &out, &errOut)
			if said := out.String() + errOut.String(); got != tt.want || !strings.Contains(said, tt.says) {
				t.Errorf("exit %d, want %d with %q, said:\n%s", got, tt.want, tt.says, said)
			}
		})
	}
}
