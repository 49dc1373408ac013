package load

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"skylarklead/internal/config"
)

// recordSchema is the schema version of the records of ConfigRecords.
const recordSchema = 2

// organisationBody is the body of an organisation's configuration record.
type organisationBody struct {
	KeyDigests   []string    `json:"key_digests"`
	Models       []modelName `json:"models,omitempty"`
	Services     []string    `json:"services,omitempty"`
	Instructions []string    `json:"instructions,omitempty"`
	Weight       float64     `json:"weight,omitempty"`
	Limits       *limits     `json:"limits,omitempty"`
}

type modelName struct {
	Name string `json:"name"`
}

type limits struct {
	MaxInFlight int `json:"max_in_flight"`
}

// ConfigRecords returns the configuration records that a workload needs: its own
// and one for each organisation, with the same instruction texts as its prompts.
func ConfigRecords(w Workload) ([]config.Record, error) {
	records := slices.Clone(w.Records)
	for _, o := range w.Organisations {
		body, err := json.Marshal(organisationRecord(&o))
		if err != nil {
			return nil, fmt.Errorf("load: organisation %s: %w", o.ID, err)
		}
		records = append(records, config.Record{
			Schema: recordSchema,
			Kind:   config.KindOrganisation,
			Key:    o.ID,
			Body:   body,
		})
	}
	return records, nil
}

func organisationRecord(o *Organisation) organisationBody {
	digest := sha256.Sum256([]byte(o.APIKey))
	body := organisationBody{
		KeyDigests: []string{hex.EncodeToString(digest[:])},
		Weight:     o.Weight,
	}
	if o.MaxInFlight > 0 {
		body.Limits = &limits{MaxInFlight: o.MaxInFlight}
	}
	for _, i := range o.Instructions {
		body.Instructions = append(body.Instructions, Text(i.Seed, i.Tokens))
	}
	for _, r := range o.Requests {
		if r.Chat == nil {
			body.Services = appendUnique(body.Services, r.Call.Service)
		} else {
			body.Models = appendUnique(body.Models, modelName{r.Chat.Model})
		}
	}
	return body
}

func appendUnique[T comparable](list []T, item T) []T {
	if slices.Contains(list, item) {
		return list
	}
	return append(list, item)
}
