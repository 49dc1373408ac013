// Package repository has tests of the repository itself: the links between its pages, and the imports
// of its pure packages.
package repository

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const root = "../.."

var link = regexp.MustCompile(`\]\(([^)#\s]+)(?:#[^)]*)?\)`)

// TestLinksLeadSomewhere checks that the target of every relative link of every page exists.
func TestLinksLeadSomewhere(t *testing.T) {
	pages := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && strings.HasPrefix(d.Name(), ".") && path != root {
			return filepath.SkipDir
		}
		if filepath.Ext(path) != ".md" {
			return nil
		}
		pages++
		return checkLinks(t, path)
	})
	if err != nil || pages == 0 {
		t.Fatalf("%d pages: %v", pages, err)
	}
}

func checkLinks(t *testing.T, page string) error {
	text, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	for _, found := range link.FindAllSubmatch(text, -1) {
		target := string(found[1])
		if strings.Contains(target, "://") {
			continue
		}
		if _, err := os.Stat(filepath.Join(filepath.Dir(page), target)); err != nil {
			t.Errorf("%s: link to %s: %v", page, target, err)
		}
	}
	return nil
}
