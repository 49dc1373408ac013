package measure

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// ErrJournal is wrapped by errors about journal entries that can't be read.
var ErrJournal = errors.New("measure: journal")

// playedRun is one entry of the journal of played days. Only finished runs with the
// command "score" have a score.
type playedRun struct {
	ID    string      `json:"id"`
	At    []string    `json:"at"`
	Cmd   string      `json:"cmd"`
	Why   string      `json:"why"`
	Site  string      `json:"site"`
	OK    bool        `json:"ok"`
	Score *float64    `json:"score"`
	Days  []playedDay `json:"days"`
}

type playedDay struct {
	Name string `json:"name"`
	// Worth is the value of the day after deducting Prices.
	Worth   float64        `json:"G"`
	Served  float64        `json:"served"`
	Refused float64        `json:"refused"`
	Failed  float64        `json:"failed"`
	Rules   map[string]int `json:"rules"`
	// Prices are rows of name, amount and cost, which is deducted from the worth.
	Prices [][]any `json:"prices"`
}

// PlayedDays writes a table of the newest successful score of each site in a
// journal's folder. It has the broken rules, worth, shares served, refused and
// failed, and the three largest prices of each day.
func PlayedDays(w io.Writer, folder string) error {
	runs, err := newestRuns(folder)
	if err != nil {
		return err
	}
	for _, site := range slices.Sorted(maps.Keys(runs)) {
		r := runs[site]
		fmt.Fprintf(w, "\n**%s**, run %s, score %.3f (%s)\n\n", site, r.ID, *r.Score, r.Why)
		fmt.Fprintln(w, "| day | rules broken | worth | served | refused | failed | largest prices |")
		fmt.Fprintln(w, "|---|---|---|---|---|---|---|")
		for _, d := range r.Days {
			fmt.Fprintf(w, "| %s | %s | %.3f | %.3f | %.3f | %.3f | %s |\n",
				d.Name, d.brokenRules(), d.Worth, d.Served, d.Refused, d.Failed, d.largestPrices(3))
		}
	}
	return nil
}

// newestRuns returns the newest successful run of each site that has a score.
func newestRuns(folder string) (map[string]*playedRun, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrJournal, err)
	}
	slices.Sort(paths) // file names begin with the time
	newest := make(map[string]*playedRun)
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrJournal, err)
		}
		r := new(playedRun)
		if err := json.Unmarshal(data, r); err != nil {
			return nil, fmt.Errorf("%w: %s: %w", ErrJournal, path, err)
		}
		if r.Cmd == "score" && r.OK && r.Score != nil {
			newest[r.Site] = r
		}
	}
	return newest, nil
}

func (d *playedDay) brokenRules() string {
	if len(d.Rules) == 0 {
		return "none"
	}
	var list []string
	for _, name := range slices.Sorted(maps.Keys(d.Rules)) {
		list = append(list, fmt.Sprintf("%s %d", name, d.Rules[name]))
	}
	return strings.Join(list, ", ")
}

// largestPrices lists the n prices with the highest cost.
func (d *playedDay) largestPrices(n int) string {
	type price struct {
		name string
		cost float64
	}
	var prices []price
	for _, row := range d.Prices {
		if len(row) != 3 {
			continue
		}
		name, isName := row[0].(string)
		cost, isCost := row[2].(float64)
		if isName && isCost {
			prices = append(prices, price{name, cost})
		}
	}
	slices.SortStableFunc(prices, func(a, b price) int { return cmp.Compare(b.cost, a.cost) })
	var list []string
	for _, p := range prices[:min(n, len(prices))] {
		list = append(list, fmt.Sprintf("%s %.3f", p.name, p.cost))
	}
	return strings.Join(list, "; ")
}
