// Package harness runs review cases: it starts the daemons with the commands of the deploy file and
// plays the platform, the replicas and the callers around them.
package harness

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Render fills in a template of settings as the platform does. It knows the placeholders that
// deploy/skylarkd.json.tmpl uses: values, values as JSON, and sections of values that are true or present.
func Render(template string, fields map[string]any) (string, error) {
	var out strings.Builder
	for {
		begin := strings.Index(template, "{{")
		if begin < 0 {
			out.WriteString(template)
			return out.String(), nil
		}
		out.WriteString(template[:begin])
		tag, rest, ok := strings.Cut(template[begin+2:], "}}")
		if !ok {
			return "", fmt.Errorf("harness: placeholder without its end at %.40q", template[begin:])
		}
		template = rest
		name, isSection := strings.CutPrefix(tag, "#")
		if !isSection {
			text, err := value(tag, fields)
			if err != nil {
				return "", err
			}
			out.WriteString(text)
			continue
		}
		body, after, ok := strings.Cut(template, "{{/"+name+"}}")
		if !ok {
			return "", fmt.Errorf("harness: section %q without its end", name)
		}
		template = after
		current := lookup(name, fields)
		if current == nil || current == false {
			continue
		}
		text, err := Render(strings.ReplaceAll(body, "{{.}}", fmt.Sprint(current)), fields)
		if err != nil {
			return "", err
		}
		out.WriteString(text)
	}
}

func value(tag string, fields map[string]any) (string, error) {
	name, asJSON := strings.CutSuffix(tag, "|json")
	v := lookup(name, fields)
	if asJSON {
		data, err := json.Marshal(v)
		return string(data), err
	}
	if v == nil {
		return "", nil
	}
	return fmt.Sprint(v), nil
}

// lookup returns the field at a path such as "bounds.lease_ms" or "port_range.0", nil if there is none.
func lookup(path string, fields map[string]any) any {
	var v any = fields
	for _, name := range strings.Split(path, ".") {
		switch x := v.(type) {
		case map[string]any:
			v = x[name]
		case []int:
			var i int
			if _, err := fmt.Sscan(name, &i); err != nil || i < 0 || i >= len(x) {
				return nil
			}
			v = x[i]
		default:
			return nil
		}
	}
	return v
}
