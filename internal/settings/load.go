package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"skylarklead/internal/strictjson"
)

// Load reads and checks the settings file at path and the files that it names. The
// error is a strictjson.Problems with all problems found, or says why the settings
// file can't be read.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	c := parse(data, path)
	c.checkFiles()
	return c.result()
}

// Parse decodes and checks settings but not the files that they name. name is the
// file's name in errors. Fields that data leaves out get their defaults. The error
// is a strictjson.Problems.
func Parse(data []byte, name string) (*Settings, error) { return parse(data, name).result() }

func parse(data []byte, name string) *checker {
	s := &Settings{}
	c := &checker{doc: strictjson.Decode(data, name, s), settings: s}
	s.fillDefaults(c.doc)
	c.check()
	return c
}

func (c *checker) result() (*Settings, error) {
	if err := c.doc.Err(); err != nil {
		return nil, err
	}
	return c.settings, nil
}

// UnmarshalJSON accepts a string such as "250ms". It refuses a number without a
// unit: the unit would be a guess, and a wrong guess is off by a factor of a thousand.
func (d *Duration) UnmarshalJSON(data []byte) error {
	const want = `a duration string with a unit, such as "250ms", "3s" or "24h"`
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return &strictjson.ValueError{Wrong: fmt.Sprintf("is %.40s, which has no unit", data), Want: want}
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return &strictjson.ValueError{Wrong: fmt.Sprintf("%.40q is not a duration", text), Want: want}
	}
	if parsed < 0 {
		return &strictjson.ValueError{Wrong: fmt.Sprintf("%.40q is negative", text), Want: want}
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON writes d as a string such as "250ms".
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.D().String()) }
