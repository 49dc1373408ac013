package config

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"skylarklead/internal/strictjson"
)

const (
	// DefaultWeight is an organisation's weight in the fair queue if its record
	// gives none.
	DefaultWeight = 1.0
	// DefaultMaxTokens bounds the tokens of an answer if the model's record doesn't.
	DefaultMaxTokens = 512
	// DefaultLoadPermits is the most conservative bound on concurrent weight loads.
	DefaultLoadPermits = 1

	maxWeight = 1000
	wantKind  = `"organisation", "model", "service" or "group"`
)

var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// parseBody decodes and validates the body by the record's schema and kind. It
// returns the type that State stores, or nil, and adds problems to doc.
func parseBody(doc *strictjson.Document, r *Record) any {
	if r.Delete {
		if r.Body != nil {
			doc.Add("body", "is given though the record deletes", "no body")
		}
		return nil
	}
	switch r.Kind {
	case KindOrganisation:
		return parseOrganisation(doc, r)
	case KindModel:
		return parseModel(doc, r)
	case KindService:
		return parseService(doc, r)
	case KindGroup:
		return parseGroup(doc, r)
	case KindSnapshot:
		if r.Key == snapshotMarkerKey {
			return parseSnapshotMarker(doc)
		}
		return parseSnapshotPart(doc)
	}
	doc.Add("kind", fmt.Sprintf("%q is not known", r.Kind), wantKind)
	return nil
}

type modelBody1 struct {
	Group     string `json:"group"`
	Version   string `json:"version"`
	MaxTokens int    `json:"max_tokens"`
}

type modelBody2 struct {
	Group     string   `json:"group"`
	Versions  []string `json:"versions"`
	Version   string   `json:"version"`
	MaxTokens int      `json:"max_tokens"`
}

// parseModel decodes schema 1, with one version, or schema 2, with several.
func parseModel(doc *strictjson.Document, r *Record) *Model {
	body := modelBody2{MaxTokens: DefaultMaxTokens}
	if r.Schema == 1 {
		old := modelBody1{MaxTokens: DefaultMaxTokens}
		doc.DecodeField("body", &old)
		body = modelBody2{Group: old.Group, Versions: []string{old.Version}, Version: old.Version, MaxTokens: old.MaxTokens}
	} else {
		doc.DecodeField("body", &body)
	}
	checkName(doc, "body.group", body.Group)
	checkName(doc, "body.version", body.Version)
	checkNames(doc, "body.versions", body.Versions)
	if !slices.Contains(body.Versions, body.Version) {
		doc.Add("body.version", fmt.Sprintf("%.80q is not among the versions", body.Version), "one of them")
	}
	if body.MaxTokens < 1 {
		doc.Add("body.max_tokens", fmt.Sprintf("is %d", body.MaxTokens), "1 or more")
	}
	return &Model{ID: r.Key, Group: body.Group, Versions: body.Versions, Version: body.Version, MaxTokens: body.MaxTokens}
}

type serviceBody struct {
	Group       string   `json:"group"`
	Repeatable  []string `json:"repeatable"`
	KeyRequired []string `json:"key_required"`
}

// parseService decodes schemas 1 and 2, which are identical.
func parseService(doc *strictjson.Document, r *Record) *Service {
	var body serviceBody
	doc.DecodeField("body", &body)
	checkName(doc, "body.group", body.Group)
	checkPaths(doc, "body.repeatable", body.Repeatable)
	checkPaths(doc, "body.key_required", body.KeyRequired)
	for i, p := range body.KeyRequired {
		if slices.Contains(body.Repeatable, p) {
			doc.Add(fmt.Sprintf("body.key_required[%d]", i), fmt.Sprintf("%.80q is repeatable too", p), "one of the two")
		}
	}
	return &Service{ID: r.Key, Group: body.Group, Repeatable: body.Repeatable, KeyRequired: body.KeyRequired}
}

type groupBody struct {
	ChecksFencing bool `json:"checks_fencing"`
	LoadPermits   int  `json:"load_permits"`
}

// parseGroup decodes schemas 1 and 2, which are identical.
func parseGroup(doc *strictjson.Document, r *Record) *Group {
	body := groupBody{LoadPermits: DefaultLoadPermits}
	doc.DecodeField("body", &body)
	if body.LoadPermits < 1 {
		doc.Add("body.load_permits", fmt.Sprintf("is %d", body.LoadPermits), "1 or more")
	}
	return &Group{ID: r.Key, ChecksFencing: body.ChecksFencing, LoadPermits: body.LoadPermits}
}

func checkName(doc *strictjson.Document, path, value string) {
	if !keyPattern.MatchString(value) {
		doc.Add(path, fmt.Sprintf("%.80q is not a name", value), wantKey)
	}
}

func checkNames(doc *strictjson.Document, path string, values []string) {
	for i, v := range values {
		at := fmt.Sprintf("%s[%d]", path, i)
		checkName(doc, at, v)
		if slices.Contains(values[:i], v) {
			doc.Add(at, fmt.Sprintf("%.80q is a duplicate", v), "each once")
		}
	}
}

func checkPaths(doc *strictjson.Document, path string, values []string) {
	for i, v := range values {
		if !strings.HasPrefix(v, "/") {
			doc.Add(fmt.Sprintf("%s[%d]", path, i), fmt.Sprintf("%.80q is not a path", v), `a path prefix such as "/balance"`)
		}
	}
}
