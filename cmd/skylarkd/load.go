package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/tailscale/hujson"

	"skylarklead/internal/settings"
)

// load reads a settings file.
func load(path string) (*settings.Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	plain, err := hujson.Standardize(text)
	if err != nil {
		return nil, fmt.Errorf("settings: %s: %w", path, err)
	}
	var s settings.Settings
	dec := json.NewDecoder(bytes.NewReader(plain))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return nil, fmt.Errorf("settings: %s: %w", path, err)
	}
	return &s, nil
}
