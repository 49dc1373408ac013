package attempt

import (
	"testing"
	"time"

	"skylarklead/internal/protocol"
)

func FuzzDecodeClaims(f *testing.F) {
	seed, err := EncodeClaims(&ClaimBatch{
		Endpoint: "endpoint-0", Epoch: 1,
		Claims:        []Claim{{Key: KeyDigest{1}, Fingerprint: 2, AgeMs: 3}},
		Settlements:   []Settlement{{Key: KeyDigest{1}, Claim: 4, Outcome: protocol.Done}},
		CarriedClaims: []CarriedClaim{{Key: KeyDigest{2}, Endpoint: "endpoint-1", Epoch: 5, Claim: 6}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		o := NewOnce("endpoint-0", 1, testOnceParams)
		o.CaughtUp(0, 0)
		o.ApplyRecord(1, data, 0)
		if o.Position() != 1 {
			t.Error("a record did not advance the position")
		}
		o.Tick(time.Hour)
	})
}
