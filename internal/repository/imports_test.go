package repository

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// purePackages are the packages whose logic is pure: events in, actions out.
var purePackages = []string{"admit", "attempt", "cachemap", "config", "lease", "member", "prefix", "rollout", "route", "fleet", "protocol", "spread", "quota", "rendezvous", "peermessage"}

// forbiddenImports are packages that pure packages must not use: the session protocol, the network, the
// file system, other processes and system calls.
var forbiddenImports = []string{"skylarklead/internal/wire", "skylarklead/platform", "skylarklead/internal/direct", "net", "net/http", "os", "os/exec", "syscall"}

// Guards against an import by which a decision depends on the inner protocol, or its test needs a
// network.
func TestDecisionsImportNoIO(t *testing.T) {
	for _, name := range purePackages {
		paths, err := filepath.Glob(filepath.Join("..", name, "*.go"))
		if err != nil || len(paths) == 0 {
			t.Fatalf("%s: %v, %d files", name, err, len(paths))
		}
		for _, path := range paths {
			if !strings.HasSuffix(path, "_test.go") {
				checkImports(t, path)
			}
		}
	}
}

func checkImports(t *testing.T, path string) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	f, err := parser.ParseFile(token.NewFileSet(), path, data, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	for _, spec := range f.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		for _, b := range forbiddenImports {
			if imported == b {
				t.Errorf("%s imports %s", path, b)
			}
		}
	}
}
