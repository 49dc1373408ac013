package harness

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"skylarklead/internal/config"
	"skylarklead/internal/platform"
)

// configStream is the log's stream of configuration records.
const configStream = "config"

// Record returns a configuration record of schema 2 with this body.
func Record(kind config.Kind, key string, base uint64, body any) config.Record {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // unreachable: bodies are maps of strings and numbers
	}
	return config.Record{Schema: 2, Kind: kind, Key: key, Base: base, Operator: "proof", Body: data}
}

// ModelRecord returns a record that sets the weights version of the cluster's model.
func ModelRecord(base uint64, version string) config.Record {
	return Record(config.KindModel, Model, base, map[string]any{
		"group": Group, "versions": []string{"v1", "v2", "v3"}, "version": version, "max_tokens": 4096,
	})
}

// Record returns the configuration record of o, based on the revision base.
func (o Organisation) Record(base uint64) config.Record {
	digest := sha256.Sum256([]byte(o.Key))
	return Record(config.KindOrganisation, o.ID, base, map[string]any{
		"key_digests":  []string{hex.EncodeToString(digest[:])},
		"models":       []map[string]any{{"name": Model}},
		"services":     []string{Service},
		"instructions": o.Instructions,
	})
}

// Publish appends a record to the platform's log, not through a fault proxy, and
// returns its offset.
func (c *Cluster) Publish(r config.Record) uint64 {
	c.t.Helper()
	data, err := r.Encode()
	if err != nil {
		c.t.Fatal(err)
	}
	log := platform.NewLog("http://" + c.Platform.Address)
	defer log.Close()
	offset, err := log.Append(context.Background(), configStream, [][]byte{data})
	if err != nil {
		c.t.Fatal(err)
	}
	return offset
}

// publishAll publishes the records that every cluster starts with.
func (c *Cluster) publishAll() {
	for _, group := range []string{Group, ServiceGroup} {
		c.Publish(Record(config.KindGroup, group, 0, map[string]any{"load_permits": 3}))
	}
	c.Revisions[Model] = c.Publish(ModelRecord(0, Version))
	c.Publish(Record(config.KindService, Service, 0, map[string]any{
		"group": ServiceGroup, "repeatable": []string{"/balance"}, "key_required": []string{"/pay"},
	}))
	for _, o := range c.organisations {
		c.Revisions[o.ID] = c.Publish(o.Record(0))
	}
}

// awaitServing waits until every entry answers requests of the organisation that was
// published last.
func (c *Cluster) awaitServing() {
	c.t.Helper()
	last := c.organisations[len(c.organisations)-1]
	for _, entry := range c.Entries {
		caller := c.Caller(entry, last)
		if len(c.Endpoints) > 0 {
			c.awaitAnswer(entry.ID, func() Answer { return caller.Chat(context.Background(), NewChat("ready", 1)) })
		}
		if len(c.Services) > 0 {
			c.awaitAnswer(entry.ID, func() Answer { return caller.Call(context.Background(), "/balance", "ready", "") })
		}
	}
}

func (c *Cluster) awaitAnswer(entry string, ask func() Answer) {
	c.t.Helper()
	var a Answer
	c.t.Cleanup(func() {
		if !a.Ended {
			c.t.Logf("%s last answered: %v", entry, a)
		}
	})
	Await(c.t, entry+" to serve", func() bool {
		a = ask()
		return a.Ended
	})
}
