package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"skylarklead/internal/strictjson"
)

// Load reads and checks the settings file at path. The error is a
// strictjson.Problems with every mistake in it, or tells why the file can't be
// read.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(data, path)
}

// Parse checks settings; name is the file's name in errors. It fills in the
// defaults of what data leaves out.
func Parse(data []byte, name string) (*Settings, error) {
	s := &Settings{}
	doc := strictjson.Decode(data, name, s)
	s.fillDefaults(doc)
	c := &checker{doc: doc, s: s}
	c.check()
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// UnmarshalJSON accepts a string such as "250ms". A bare number is refused: its
// unit would be a guess, and a wrong one is off by a factor of a thousand.
func (d *Duration) UnmarshalJSON(data []byte) error {
	const want = `a duration string with a unit, such as "250ms", "3s" or "24h"`
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return &strictjson.Mistake{Wrong: fmt.Sprintf("is %.40s, which has no unit", data), Want: want}
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return &strictjson.Mistake{Wrong: fmt.Sprintf("%.40q is not a duration", text), Want: want}
	}
	if parsed < 0 {
		return &strictjson.Mistake{Wrong: fmt.Sprintf("%.40q is negative", text), Want: want}
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON writes d as a string such as "250ms".
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.D().String()) }
