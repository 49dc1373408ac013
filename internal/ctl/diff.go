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

// change is what publishing one record would change.
type change struct {
	Kind config.Kind `json:"kind"`
	Key  string      `json:"key"`
	// What is "create", "change", "delete" or "same".
	What string `json:"what"`
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
			fmt.Fprintf(w, "%s %s/%s\n", ch.What, ch.Kind, ch.Key)
			for _, line := range ch.Lines {
				fmt.Fprintln(w, "  "+line)
			}
		}
	})
}

func changeOf(s *config.State, r config.Record) change {
	ch := change{Kind: r.Kind, Key: r.Key, What: "change"}
	before := itemOf(s, r.Kind, r.Key).Record
	old, fresh := "", ""
	if before != nil {
		old = content(before)
	}
	if !r.Delete {
		fresh = content(&r)
	}
	switch {
	case r.Delete:
		ch.What = "delete"
	case before == nil:
		ch.What = "create"
	case old == fresh:
		ch.What = "same"
		return ch
	}
	ch.Lines = lineDiff(lines(old), lines(fresh))
	return ch
}

// content is the part of a record that says what is to be, with fields in order
// and characters escaped in one way.
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

// lineDiff returns a's and b's lines in order, by their longest common
// subsequence.
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

// commonLengths has at [i][j] the length of the longest common subsequence of
// a[i:] and b[j:].
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
