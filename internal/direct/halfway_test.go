package direct

import (
	"bytes"
	"compress/flate"
	"net/http"
	"net/netip"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"skylarklead/internal/attempt"
	"skylarklead/internal/peermessage"
	"skylarklead/internal/standin/halfway"
	"skylarklead/test/kit"
)

// Guards against records of a peer that are taken from a part of its answer.
func TestRecordsOfAPeerThatStopHalfway(t *testing.T) {
	t.Parallel()
	sent := peermessage.TopicState{TopicID: 1, Next: 7, From: 5, Records: []peermessage.TopicRecord{{Key: "a", Value: []byte("value of a")}, {Key: "b"}}}
	var body bytes.Buffer
	out := kit.Must(flate.NewWriter(&body, flate.BestSpeed))(t)
	kit.OK(t, cbor.NewEncoder(out).Encode(&sent))
	kit.OK(t, out.Close())
	server := halfway.StartFor(t)
	for _, form := range halfway.Forms(http.StatusOK, "", body.String()) {
		for _, ending := range halfway.Endings {
			for n := range len(form.Bytes) + 1 {
				server.Send(form.Bytes[:n], ending)
				got, err := newBulk().fetch(netip.MustParseAddrPort(server.Address), 1, 5)
				_, whole := form.WholeAt(n, ending)
				// The compressed records show their own end.
				if err == nil && !reflect.DeepEqual(got, &sent) {
					t.Errorf("%s, %v after %d bytes: got %+v", form.Name, ending, n, got)
				}
				if err != nil && whole && n == len(form.Bytes) && ending == halfway.Closed {
					t.Errorf("%s: %v", form.Name, err)
				}
			}
		}
	}
}

// Guards against a part of a stored verdict that is decoded as a shorter one.
func TestPartsOfVerdictsAreMalformed(t *testing.T) {
	verdict := storedVerdict{Report: attempt.CrashReport{Fingerprint: 1, Replica: "r", GivenUp: true}, AtMs: 1}
	for n := range verdict.encode() {
		if v, err := decodeVerdict(verdict.encode()[:n]); err == nil {
			t.Errorf("%d bytes of a verdict: decoded as %+v", n, v)
		}
	}
}
