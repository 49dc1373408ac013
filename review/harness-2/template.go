package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

var (
	sectionPattern     = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/([a-z_.0-9]+)\}\}`)
	placeholderPattern = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// render fills in a settings template as the platform does, as far as the deploy file's template needs it:
// values, values as JSON, and sections of a single value that are left out if it is absent or false.
func render(text string, fields map[string]any) (string, error) {
	text = sectionPattern.ReplaceAllStringFunc(text, func(section string) string {
		m := sectionPattern.FindStringSubmatch(section)
		value := lookup(fields, m[1])
		if value == nil || value == false {
			return ""
		}
		return strings.ReplaceAll(m[2], "{{.}}", fmt.Sprint(value))
	})
	text = placeholderPattern.ReplaceAllStringFunc(text, func(placeholder string) string {
		m := placeholderPattern.FindStringSubmatch(placeholder)
		value := lookup(fields, m[1])
		if m[2] != "" {
			data, _ := json.Marshal(value) // fields are plain values
			return string(data)
		}
		return fmt.Sprint(value)
	})
	if i := strings.Index(text, "{{"); i >= 0 {
		return "", fmt.Errorf("template has a placeholder that this harness doesn't know: %.40q", text[i:])
	}
	return text, nil
}

// lookup returns the value at a dotted path, nil if there is none.
func lookup(value any, path string) any {
	for _, name := range strings.Split(path, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[name]
		case []int:
			i, err := strconv.Atoi(name)
			if err != nil || i >= len(v) {
				return nil
			}
			value = v[i]
		default:
			return nil
		}
	}
	return value
}
