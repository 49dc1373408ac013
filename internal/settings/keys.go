package settings

import (
	"encoding/hex"
	"fmt"
	"slices"
)

const (
	minFleetKeyBytes = 32
	// maxFleetKeys bounds the keys that a session handshake is checked against.
	maxFleetKeys = 4
)

// checkFleetKeys checks fleet_key, or fleet_keys if given instead.
func (c *checker) checkFleetKeys() {
	s := c.settings
	if len(s.FleetKeys) == 0 {
		c.checkFleetKey("fleet_key", s.FleetKey)
		return
	}
	if s.FleetKey != "" {
		c.doc.Add("fleet_keys", `is given beside "fleet_key"`, "one of the two")
	}
	if n := len(s.FleetKeys); n > maxFleetKeys {
		c.doc.Add("fleet_keys", fmt.Sprintf("has %d keys", n), fmt.Sprintf("at most %d", maxFleetKeys))
	}
	for i, key := range s.FleetKeys {
		path := fmt.Sprintf("fleet_keys[%d]", i)
		c.checkFleetKey(path, key)
		if slices.Contains(s.FleetKeys[:i], key) {
			c.doc.Add(path, "is a duplicate", "each key once")
		}
	}
}

func (c *checker) checkFleetKey(path, value string) {
	want := fmt.Sprintf("%d bytes or more in hex, the same in the whole fleet", minFleetKeyBytes)
	key, err := hex.DecodeString(value)
	switch {
	case err != nil:
		c.doc.Add(path, "is not hex", want)
	case len(key) < minFleetKeyBytes:
		c.doc.Add(path, fmt.Sprintf("has %d bytes", len(key)), want)
	}
}

// Key returns the decoded fleet key with which this process dials peers. It also
// accepts it.
func (s *Settings) Key() []byte { return s.decodedKeys()[0] }

// AdditionalKeys returns the decoded further keys that are accepted from dialling
// peers.
func (s *Settings) AdditionalKeys() [][]byte { return s.decodedKeys()[1:] }

func (s *Settings) decodedKeys() [][]byte {
	encoded := s.FleetKeys
	if len(encoded) == 0 {
		encoded = []string{s.FleetKey}
	}
	keys := make([][]byte, len(encoded))
	for i, text := range encoded {
		keys[i], _ = hex.DecodeString(text) // Parse refuses keys that are not hex
	}
	return keys
}
