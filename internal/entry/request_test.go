package entry

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarklead/internal/protocol"
)

func TestValidRequestID(t *testing.T) {
	for id, want := range map[string]bool{
		"a-1_b.C":                 true,
		"":                        false,
		"a b":                     false,
		"a\n{\"msg\":\"forged\"}": false,
		"é":                       false,
		strings.Repeat("a", 64):   true,
		strings.Repeat("a", 65):   false,
	} {
		if got := validRequestID(id); got != want {
			t.Errorf("validRequestID(%q) = %v", id, got)
		}
	}
}

func TestHeaders(t *testing.T) {
	for _, tt := range []struct {
		name, header, value string
		ok                  bool
	}{
		{"deadline", "X-Deadline-Ms", "250", true},
		{"no deadline", "X-Deadline-Ms", "0", false},
		{"huge deadline", "X-Deadline-Ms", "9999999999999", false},
		{"worded deadline", "X-Deadline-Ms", "soon", false},
		{"key", "Idempotency-Key", "pay-7", true},
		{"empty key", "Idempotency-Key", "", false},
		{"long key", "Idempotency-Key", strings.Repeat("k", 256), false},
		{"binary key", "Idempotency-Key", "a\x01", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := &http.Request{Header: http.Header{tt.header: {tt.value}}}
			_, badDeadline := callerTimeout(r, 1)
			_, _, badKey := idempotencyKey(r, "foodbank")
			if ok := badDeadline == nil && badKey == nil; ok != tt.ok {
				t.Errorf("accepted: %v", ok)
			}
		})
	}
}

func TestKeysOfTwoOrganisationsDiffer(t *testing.T) {
	r := &http.Request{Header: http.Header{"Idempotency-Key": {"pay-7"}}}
	a, _, _ := idempotencyKey(r, "foodbank")
	b, _, _ := idempotencyKey(r, "hospice")
	if string(a) == string(b) {
		t.Error("two organisations share an idempotency key")
	}
}

func TestKeyAge(t *testing.T) {
	now := time.UnixMilli(0x0192_0000_0000 + 5000)
	for key, want := range map[string]time.Duration{
		"01920000-0000-7abc-8def-0123456789ab": 5 * time.Second,
		"01920000-ffff-7abc-8def-0123456789ab": 0, // created in the future
		"01920000-0000-4abc-8def-0123456789ab": 0, // version 4 contains no time
		"pay-7":                                0,
	} {
		if got := keyAge(key, now); got != want {
			t.Errorf("keyAge(%q) = %v, want %v", key, got, want)
		}
	}
}

func TestEventIDRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := eventID{
			executor: rapid.StringMatching(`[a-z0-9.-]{1,20}`).Draw(t, "executor"),
			epoch:    protocol.Epoch(rapid.Uint64().Draw(t, "epoch")),
			seq:      rapid.Uint64().Draw(t, "seq"),
		}
		copy(id.attempt[:], rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "attempt"))
		got, err := parseEventID(id.String())
		if err != nil || got != id {
			t.Fatalf("%v was parsed as %v, %v", id, got, err)
		}
	})
}

func TestServicePath(t *testing.T) {
	for encoded, want := range map[string]string{
		"balance/7":             "/balance/7",
		"balance/":              "/balance/",
		"caf%C3%A9":             "/café",
		"balance/../payments/7": "",
		"balance/./7":           "",
		"balance//payments":     "",
		"balance%2Fpayments":    "",
		"balance/%2e%2e/pay":    "",
		"a%00b":                 "",
		"a%5cb":                 "",
		"a%3Fb":                 "",
		"a%252Fb":               "",
	} {
		got, refusal := servicePath(encoded)
		if got != want || (refusal == nil) != (want != "") {
			t.Errorf("servicePath(%q) = %q, %v; want %q", encoded, got, refusal, want)
		}
	}
}

func TestUnderAny(t *testing.T) {
	prefixes := []string{"/balance", "reports/"}
	for path, want := range map[string]bool{
		"/balance": true, "/balance/7": true, "/balances": false, "/reports/a": true, "/payments": false,
	} {
		if got := underAnyPrefix(prefixes, path); got != want {
			t.Errorf("underAnyPrefix(%q) = %v", path, got)
		}
	}
}
