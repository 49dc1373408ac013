// Package test has the process-level tests, which run real processes behind fault
// proxies. docs/PROOFS.md says what each test proves and what it doesn't.
package test

import (
	"testing"

	"skylarklead/test/harness"
)

func TestMain(m *testing.M) { harness.Main(m) }
