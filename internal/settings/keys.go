package settings

import (
	"encoding/hex"
	"fmt"
	"slices"
)

const (
	minFleetKeyBytes = 32
	// maxFleetKeys bounds the keys that each opening of a session is tried with.
	maxFleetKeys = 4
)

// fleetKeys checks fleet_key, or fleet_keys in its place.
func (c *checker) fleetKeys() {
	s := c.s
	if len(s.FleetKeys) == 0 {
		c.fleetKey("fleet_key", s.FleetKey)
		return
	}
	if s.FleetKey != "" {
		c.doc.Add("fleet_keys", `is given beside "fleet_key"`, "one of the two")
	}
	if n := len(s.FleetKeys); n > maxFleetKeys {
		c.doc.Add("fleet_keys", fmt.Sprintf("has %d keys", n), fmt.Sprintf("%d at the most", maxFleetKeys))
	}
	for i, key := range s.FleetKeys {
		path := fmt.Sprintf("fleet_keys[%d]", i)
		c.fleetKey(path, key)
		if slices.Contains(s.FleetKeys[:i], key) {
			c.doc.Add(path, "is there twice", "each key once")
		}
	}
}

func (c *checker) fleetKey(path, value string) {
	want := fmt.Sprintf("%d bytes or more in hex, the same in the whole fleet", minFleetKeyBytes)
	key, err := hex.DecodeString(value)
	switch {
	case err != nil:
		c.doc.Add(path, "is not hex", want)
	case len(key) < minFleetKeyBytes:
		c.doc.Add(path, fmt.Sprintf("has %d bytes", len(key)), want)
	}
}

// Key returns the bytes of the fleet's key, by which peers are dialled.
func (s *Settings) Key() []byte { return s.keys()[0] }

// AdditionalKeys returns the other keys that dialling peers may have.
func (s *Settings) AdditionalKeys() [][]byte { return s.keys()[1:] }

func (s *Settings) keys() [][]byte {
	texts := s.FleetKeys
	if len(texts) == 0 {
		texts = []string{s.FleetKey}
	}
	keys := make([][]byte, len(texts))
	for i, text := range texts {
		keys[i], _ = hex.DecodeString(text) // Parse has refused what is not hex
	}
	return keys
}
