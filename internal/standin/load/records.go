package load

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
)

// recordSchema is the schema version of the records that Records makes.
const recordSchema = 1

// organisationBody is the body of an organisation's configuration record.
type organisationBody struct {
	KeyDigests   []string            `json:"key_digests"`
	Models       map[string][]string `json:"models"`
	Services     []string            `json:"services"`
	Instructions []string            `json:"instructions"`
	Weight       float64             `json:"weight,omitempty"`
	MaxInFlight  int                 `json:"max_in_flight,omitempty"`
}

// Records returns the configuration records that a workload needs: its own and
// one for each of its organisations, with the same texts that its prompts have.
func Records(w Workload) ([]Record, error) {
	records := slices.Clone(w.Records)
	for _, o := range w.Organisations {
		body, err := json.Marshal(organisationRecord(&o))
		if err != nil {
			return nil, fmt.Errorf("load: organisation %s: %w", o.ID, err)
		}
		records = append(records, Record{Schema: recordSchema, Kind: "organisation", Key: o.ID, Body: body})
	}
	return records, nil
}

func organisationRecord(o *Organisation) organisationBody {
	digest := sha256.Sum256([]byte(o.APIKey))
	body := organisationBody{
		KeyDigests:  []string{hex.EncodeToString(digest[:])},
		Models:      map[string][]string{},
		Services:    []string{},
		Weight:      o.Weight,
		MaxInFlight: o.MaxInFlight,
	}
	for _, i := range o.Instructions {
		body.Instructions = append(body.Instructions, Text(i.Seed, i.Tokens))
	}
	for _, r := range o.Requests {
		if r.Chat != nil {
			body.Models[r.Chat.Model] = []string{}
		} else if !slices.Contains(body.Services, r.Call.Service) {
			body.Services = append(body.Services, r.Call.Service)
		}
	}
	return body
}
