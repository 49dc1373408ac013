package config

import (
	"fmt"
	"slices"

	"skylarklead/internal/strictjson"
)

// organisationBody1 is schema 1: models with all their versions, one instruction
// text.
type organisationBody1 struct {
	KeyDigests   []string `json:"key_digests"`
	Models       []string `json:"models"`
	Services     []string `json:"services"`
	Instructions string   `json:"instructions"`
}

// organisationBody2 is schema 2: models with allowed versions, several levels of
// instructions, a weight and limits.
type organisationBody2 struct {
	KeyDigests   []string       `json:"key_digests"`
	Models       []allowedModel `json:"models"`
	Services     []string       `json:"services"`
	Instructions []string       `json:"instructions"`
	Weight       float64        `json:"weight"`
	Limits       limits         `json:"limits"`
}

type allowedModel struct {
	Name string `json:"name"`
	// Versions lists the allowed versions; empty allows all.
	Versions []string `json:"versions"`
}

type limits struct {
	MaxInFlight int `json:"max_in_flight"`
}

func parseOrganisation(doc *strictjson.Document, r *Record) *Organisation {
	body := organisationBody2{Weight: DefaultWeight}
	if r.Schema == 1 {
		var old organisationBody1
		doc.DecodeField("body", &old)
		body.upgrade(old)
	} else {
		doc.DecodeField("body", &body)
	}
	body.check(doc)
	models := make(map[string][]string, len(body.Models))
	for _, m := range body.Models {
		models[m.Name] = m.Versions
	}
	return &Organisation{
		ID:           r.Key,
		KeyDigests:   body.KeyDigests,
		Models:       models,
		Services:     body.Services,
		Instructions: body.Instructions,
		Weight:       body.Weight,
		MaxInFlight:  body.Limits.MaxInFlight,
	}
}

func (b *organisationBody2) upgrade(old organisationBody1) {
	b.KeyDigests = old.KeyDigests
	b.Services = old.Services
	for _, m := range old.Models {
		b.Models = append(b.Models, allowedModel{Name: m})
	}
	if old.Instructions != "" {
		b.Instructions = []string{old.Instructions}
	}
}

func (b *organisationBody2) check(doc *strictjson.Document) {
	for i, d := range b.KeyDigests {
		at := fmt.Sprintf("body.key_digests[%d]", i)
		if !digestPattern.MatchString(d) {
			doc.Add(at, fmt.Sprintf("%.80q is not a digest", d), "the SHA-256 of an API key, 64 hex digits in lower case")
		}
		if slices.Contains(b.KeyDigests[:i], d) {
			doc.Add(at, "is a duplicate", "each once")
		}
	}
	names := make([]string, len(b.Models))
	for i, m := range b.Models {
		names[i] = m.Name
		checkNames(doc, fmt.Sprintf("body.models[%d].versions", i), m.Versions)
	}
	checkNames(doc, "body.models", names)
	checkNames(doc, "body.services", b.Services)
	for i, text := range b.Instructions {
		if text == "" {
			doc.Add(fmt.Sprintf("body.instructions[%d]", i), "is empty", "a text")
		}
	}
	if !(b.Weight > 0 && b.Weight <= maxWeight) {
		doc.Add("body.weight", fmt.Sprintf("is %v", b.Weight), fmt.Sprintf("more than 0, at most %d", maxWeight))
	}
	if b.Limits.MaxInFlight < 0 {
		doc.Add("body.limits.max_in_flight", fmt.Sprintf("is %d", b.Limits.MaxInFlight), "0 for no bound, or more")
	}
}
