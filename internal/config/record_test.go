package config

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"skylarklead/test/kit"
)

func TestRecordMistakes(t *testing.T) {
	for _, tc := range []struct{ name, record, want string }{
		{"unknown field", `{"schema":1,"kind":"group","key":"g",` + "\n" + `"body":{"load_permit":3}}`, `f.json:2: body.load_permit: unknown field; want "load_permits"?`},
		{"schema 1 with models of 2", `{"schema":1,"kind":"organisation","key":"o","body":{"models":[{"name":"m"}]}}`, `body.models[0]: is an object; want a string`},
		{"no schema", `{"kind":"group","key":"g"}`, `schema: is 0; want a schema version, 1 to 2`},
		{"kind", `{"schema":1,"kind":"grup","key":"g","body":{}}`, `kind: "grup" is not known`},
		{"key", `{"schema":1,"kind":"group","key":"a b","body":{}}`, `key: "a b" is not a key`},
		{"digest", `{"schema":1,"kind":"organisation","key":"o","body":{"key_digests":["secret"]}}`, `body.key_digests[0]: "secret" is not a digest`},
		{"version", `{"schema":2,"kind":"model","key":"m","body":{"group":"g","versions":["v1"],"version":"v2"}}`, `body.version: "v2" is not among the versions`},
		{"no body", `{"schema":2,"kind":"model","key":"m"}`, `body: is missing`},
		{"both", `{"schema":1,"kind":"service","key":"s","body":{"group":"g","repeatable":["/a"],"key_required":["/a"]}}`, `body.key_required[0]: "/a" is repeatable too`},
		{"path", `{"schema":1,"kind":"service","key":"s","body":{"group":"g","repeatable":["a"]}}`, `body.repeatable[0]: "a" is not a path`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := ParseRecord([]byte(tc.record), "f.json")
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("got  %v\nwant %s", err, tc.want)
			}
		})
	}
}

func TestBothSchemasMeanTheSame(t *testing.T) {
	one := `{"schema":1,"kind":"organisation","key":"o","base":0,"body":{"models":["m"],"instructions":"rules"}}`
	two := `{"schema":2,"kind":"organisation","key":"o","base":0,"body":{"models":[{"name":"m"}],"instructions":["rules"]}}`
	a, _ := NewState().Apply(1, []byte(one))
	b, _ := NewState().Apply(1, []byte(two))
	if !reflect.DeepEqual(a.Organisations, b.Organisations) {
		t.Errorf("%+v differs from %+v", a.Organisations["o"], b.Organisations["o"])
	}
	if !a.Organisations["o"].Allows("m", "v9") {
		t.Error("a model without versions doesn't allow all")
	}
}

func FuzzParseRecord(f *testing.F) {
	seeds, err := filepath.Glob("testdata/seeds/*.json")
	if err != nil || len(seeds) == 0 {
		f.Fatal("no seeds:", err)
	}
	for _, path := range seeds {
		data := kit.Must(os.ReadFile(path))(f)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := ParseRecord(data, "fuzz")
		s, v := NewState().Apply(1, data)
		if s.Offset != 1 {
			t.Fatalf("offset %d", s.Offset)
		}
		if v.Accepted && err != nil && !r.Delete {
			t.Fatalf("accepted with error %v", err)
		}
		if errors.Is(err, ErrMalformedEnvelope) && v.Reason != ReasonMalformed {
			t.Fatalf("no envelope but %+v", v)
		}
		kit.Must(DecodeState(mustEncode(t, s)))(t)
	})
}
