package settings

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"skylarklead/internal/strictjson"
	"skylarklead/test/kit"
)

// validSettings is a settings file; each test replaces a part of it.
const validSettings = `{
  "id": "entry-1",
  "role": "entry",
  "failure_domain": "hobart-a",
  "listen": "127.0.0.1:7001", // for peers
  "fleet_key": "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff",
  "platform": {"log": "http://127.0.0.1:7000", "instances": "http://127.0.0.1:7000"},
  "bootstrap": {"peers": ["127.0.0.1:7002"]},
  "entry": {"listen": "127.0.0.1:8080"},
}`

const endpointSection = `"endpoint": {"group": "g", "backend": "http://127.0.0.1:9000", "heartbeat": "1s"`

const (
	keySetting = `"fleet_key": "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"`
	otherKey   = "ff112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
)

func TestFleetKeys(t *testing.T) {
	_, key, _ := strings.Cut(strings.Trim(keySetting, `"`), `: "`)
	s := kit.Must(Parse([]byte(strings.Replace(validSettings, keySetting, `"fleet_keys": ["`+otherKey+`", "`+key+`"]`, 1)), "s"))(t)
	if additional := s.AdditionalKeys(); s.Key()[0] != 0xff || len(additional) != 1 || additional[0][0] != 0 {
		t.Errorf("dials by %x, also accepts %x", s.Key(), additional)
	}
}

// Settings that a tool writes as JSON must be accepted by the daemon. An unset
// fleet_keys was written as null, which is not an array, so that daemons exited at
// once.
func TestWrittenSettingsAreRead(t *testing.T) {
	s, err := Parse([]byte(validSettings), "s")
	if err != nil {
		t.Fatal(err)
	}
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Parse(data, "written"); err != nil {
		t.Error(err)
	}
}

func TestDefaults(t *testing.T) {
	s := kit.Must(Parse([]byte(validSettings), "whole.json"))(t)
	if s.Advertise != s.Listen || s.LogLevel != "info" || s.Platform.Retention.D() != 24*time.Hour {
		t.Errorf("process: %+v", s)
	}
	want := Entry{
		Listen: "127.0.0.1:8080", MaxBody: 1 << 20, HedgeAfter: DefaultHedgeAfter, ResumeGrace: DefaultResumeGrace,
		RequestTimeout: DefaultRequestTimeout, RetryShare: 0.1, Policy: "owner",
	}
	if *s.Entry != want {
		t.Errorf("entry: got %+v, want %+v", *s.Entry, want)
	}
	if len(s.Key()) != 32 || len(s.AdditionalKeys()) != 0 {
		t.Errorf("key has %d bytes, %d others", len(s.Key()), len(s.AdditionalKeys()))
	}
}

// Settings written by a program that doesn't set a newly added field must read back
// as the defaults. If an unset field is written as null or 0, the daemon refuses it.
func TestSettingsAreWrittenAsTheyAreRead(t *testing.T) {
	endpoint := strings.NewReplacer(`"entry": {"listen": "127.0.0.1:8080"}`, endpointSection+`}`, `"role": "entry"`, `"role": "endpoint"`).Replace(validSettings)
	for _, text := range []string{validSettings, endpoint} {
		s := kit.Must(Parse([]byte(text), "s"))(t)
		if s.Endpoint != nil {
			s.Endpoint.FirstTokenTarget = 0 // as a program that doesn't set the field leaves it
		}
		again := kit.Must(Parse(kit.Must(json.Marshal(s))(t), "again"))(t)
		if s.Endpoint != nil {
			s.Endpoint.FirstTokenTarget = DefaultFirstTokenTarget
		}
		if !reflect.DeepEqual(s, again) {
			t.Errorf("wrote %+v, read %+v", s, again)
		}
	}
}

func TestMistakes(t *testing.T) {
	endpoint := func(with string) [2]string {
		return [2]string{`"entry": {"listen": "127.0.0.1:8080"}`, endpointSection + with + `}`}
	}
	for _, tc := range []struct {
		name    string
		replace [2]string
		want    string
	}{
		{"unknown field", [2]string{`"id"`, `"idd": 1, "id"`}, `settings.json:2: idd: unknown field; want "id"?`},
		{"far field", [2]string{`"id"`, `"quux": 1, "id"`}, `settings.json:2: quux: unknown field; want none of that name`},
		{"no unit", [2]string{`8080"`, `8080", "hedge_after": 40`}, `settings.json:9: entry.hedge_after: is 40, which has no unit; want a duration string`},
		{"bad unit", [2]string{`8080"`, `8080", "hedge_after": "40 parsecs"`}, `entry.hedge_after: "40 parsecs" is not a duration`},
		{"host name", [2]string{`127.0.0.1:7001`, `localhost:7001`}, `settings.json:5: listen: "localhost:7001" is not an address; want "ip:port" by IP number`},
		{"URL by name", [2]string{`"log": "http://127.0.0.1`, `"log": "http://log`}, `settings.json:7: platform.log: "http://log:7000" doesn't name its host by IP number`},
		{"same listen", [2]string{`8080`, `7001`}, `settings.json:9: entry.listen: "127.0.0.1:7001" is already taken by listen`},
		{"any host", [2]string{`"listen": "127.0.0.1:7001"`, `"listen": "0.0.0.0:7001"`}, `listen: "0.0.0.0:7001" can't be dialled by peers`},
		{"share", [2]string{`8080"`, `8080", "retry_share": 1.5`}, `entry.retry_share: is 1.5; want a share from 0 to 1`},
		{"short key", [2]string{`00112233445566778899aabbccddeeff0`, `0`}, `settings.json:6: fleet_key: has 16 bytes; want 32 bytes or more in hex`},
		{"two sorts of keys", [2]string{`"fleet_key"`, `"fleet_keys": ["` + otherKey + `"], "fleet_key"`}, `fleet_keys: is given beside "fleet_key"; want one of the two`},
		{"short second key", [2]string{keySetting, `"fleet_keys": ["` + otherKey + `", "00"]`}, `settings.json:6: fleet_keys[1]: has 1 bytes`},
		{"key twice", [2]string{keySetting, `"fleet_keys": ["` + otherKey + `", "` + otherKey + `"]`}, `fleet_keys[1]: is a duplicate`},
		{"many keys", [2]string{keySetting, `"fleet_keys": ["", "", "", "", ""]`}, `fleet_keys: has 5 keys; want at most 4`},
		{"no keys", [2]string{keySetting, `"fleet_keys": []`}, `fleet_key: has 0 bytes`},
		{"key not hex", [2]string{`"0011`, `"zz11`}, `settings.json:6: fleet_key: is not hex`},
		{"role", [2]string{`"role": "entry"`, `"role": "endpoint"`}, `settings.json:3: role: is "endpoint" but the settings have "entry"`},
		{"unknown role", [2]string{`"role": "entry"`, `"role": "router"`}, `role: "router" is not known; want "entry" or "endpoint"`},
		{"neither part", [2]string{`"entry": {"listen": "127.0.0.1:8080"},`, ``}, `neither "entry" nor "endpoint" is given`},
		{"both parts", [2]string{`"entry": {`, endpointSection + `}, "entry": {`}, `endpoint: is given beside "entry"`},
		{"twice", [2]string{`"id"`, `"id": "x", "id"`}, `settings.json:2: id: given twice`},
		{"peer twice", [2]string{`["127.0.0.1:7002"]`, `["127.0.0.1:7002", "127.0.0.1:7002"]`}, `bootstrap.peers[1]: "127.0.0.1:7002" is a duplicate`},
		{"policy", [2]string{`8080"`, `8080", "policy": "onwer"`}, `entry.policy: "onwer" is not known; want "owner" or "random"`},
		{"grace", [2]string{`8080"`, `8080", "drain_delay": "2s", "grace": "2.2s"`}, `entry.grace: is 2.2s; want 0, or more than drain_delay and 500ms`},
		{"reserve", endpoint(`, "small_reserve": -0.1`), `endpoint.small_reserve: is -0.1; want a share from 0 to 1`},
		{"keep serving", endpoint(`, "keep_serving": 2`), `endpoint.keep_serving: is 2; want a share from 0 to 1`},
		{"transfer", endpoint(`, "transfer_tokens_per_second": -1`), `endpoint.transfer_tokens_per_second: is -1; want 0 for no import`},
		{"transfer wait", endpoint(`, "transfer_tokens_per_second": 1, "transfer_wait": "0s"`), `endpoint.transfer_wait: is 0s; want more than 0s`},
		{"suspect", endpoint(`, "suspect_after": "1s"`), `endpoint.suspect_after: 1s is not more than the heartbeat, 1s`},
		{"syntax", [2]string{`"id":`, `"id"`}, `settings.json:2: column 8: `},
		{"type", [2]string{`"entry-1"`, `7`}, `settings.json:2: id: is 7; want a string`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validSettings, tc.replace[0], tc.replace[1], 1)), "settings.json")
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("got  %v\nwant %s", err, tc.want)
			}
		})
	}
}

func TestAllMistakesAtOnce(t *testing.T) {
	text := strings.NewReplacer(`"hobart-a"`, `""`, `7002`, `0`, `8080"`, `8080", "max_body": -1`).Replace(validSettings)
	_, err := Parse([]byte(text), "s")
	var problems strictjson.Problems
	if !errors.As(err, &problems) || len(problems) != 3 {
		t.Fatalf("got %v, want three problems", err)
	}
}

func FuzzParse(f *testing.F) {
	seeds, err := filepath.Glob("testdata/seeds/*.json")
	if err != nil || len(seeds) == 0 {
		f.Fatal("no seeds:", err)
	}
	for _, path := range seeds {
		data := kit.Must(os.ReadFile(path))(f)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data, "fuzz")
		if (s == nil) == (err == nil) {
			t.Fatalf("settings %v with error %v", s, err)
		}
		if s != nil && (s.Entry == nil) == (s.Endpoint == nil) {
			t.Fatal("accepted without exactly one role's section")
		}
	})
}
