// Package test has the process-level proofs: real processes behind fault
// proxies. docs/PROOFS.md says what each proves and what not.
package test

import (
	"testing"

	"skylarklead/test/harness"
)

func TestMain(m *testing.M) { harness.Main(m) }
