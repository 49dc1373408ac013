package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"skylarklead/internal/config"
)

// change is the effect of publishing one record.
type change struct {
	Kind config.Kind `json:"kind"`
	Key  string      `json:"key"`
	// Action is "create", "change", "delete" or "same".
	Action string `json:"what"`
	// Lines begin with "-", "+" or " ".
	Lines []string `json:"lines,omitempty"`
}

func diff(ctx context.Context, c *cli.Command) error {
	sources, err := readFiles(c.Args().Slice())
	if err != nil {
		return err
	}
	h, err := readHistory(ctx, c)
	if err != nil {
		return err
	}
	changes := make([]change, len(sources))
	for i, s := range sources {
		changes[i] = changeOf(h.State, s.record)
	}
	return show(c, changes, func(w io.Writer) {
		for _, ch := range changes {
			fmt.Fprintf(w, "%s %s/%s\n", ch.Action, ch.Kind, ch.Key)
			for _, line := range ch.Lines {
				fmt.Fprintln(w, "  "+line)
			}
		}
	})
}

func changeOf(s *config.State, r config.Record) change {
	ch := change{Kind: r.Kind, Key: r.Key, Action: "change"}
	before := itemOf(s, r.Kind, r.Key).Record
	old, updated := "", ""
	if before != nil {
		old = content(before)
	}
	if !r.Delete {
		updated = content(&r)
	}
	switch {
	case r.Delete:
		ch.Action = "delete"
	case before == nil:
		ch.Action = "create"
	case old == updated:
		ch.Action = "same"
		return ch
	}
	ch.Lines = lineDiff(lines(old), lines(updated))
	return ch
}

// content renders a record's schema and body with sorted fields and uniform
// escaping, so that records with the same content compare equal.
func content(r *config.Record) string {
	var body any
	if len(r.Body) > 0 {
		if err := json.Unmarshal(r.Body, &body); err != nil {
			return err.Error()
		}
	}
	return pretty(struct {
		Schema int `json:"schema"`
		Body   any `json:"body,omitempty"`
	}{r.Schema, body})
}

func pretty(value any) string {
	var b strings.Builder
	enc := json.NewEncoder(&b)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	if err := enc.Encode(value); err != nil {
		return err.Error()
	}
	return strings.TrimSuffix(b.String(), "\n")
}

func lines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, "\n")
}

// lineDiff returns a line diff of a and b, by their longest common subsequence.
func lineDiff(a, b []string) []string {
	common := commonLengths(a, b)
	var out []string
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			out = append(out, "  "+a[i])
			i, j = i+1, j+1
		case j == len(b) || (i < len(a) && common[i+1][j] >= common[i][j+1]):
			out = append(out, "- "+a[i])
			i++
		default:
			out = append(out, "+ "+b[j])
			j++
		}
	}
	return out
}

// commonLengths returns a table whose element [i][j] is the length of the longest
// common subsequence of a[i:] and b[j:].
func commonLengths(a, b []string) [][]int {
	common := make([][]int, len(a)+1)
	for i := range common {
		common[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				common[i][j] = common[i+1][j+1] + 1
			} else {
				common[i][j] = max(common[i+1][j], common[i][j+1])
			}
		}
	}
	return common
}
