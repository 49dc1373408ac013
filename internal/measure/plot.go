package measure

import (
	"fmt"
	"image/color"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barsWidth  = 48 // total width of a scenario's bars in points
)

// chart is a bar chart of one measure by scenario and policy.
type chart struct {
	file, title, unit string
	value             func(Row) float64
}

var charts = []chart{
	{"hit-rate", "Prefix hit rate, by the engines' accounts", "% of prompt tokens", func(r Row) float64 { return 100 * r.HitRate }},
	{"first-token-small-p99", "Time to first token of small organisations, p99", "ms", func(r Row) float64 { return r.SmallP99 }},
	{"first-token-p99", "Time to first token, p99", "ms", func(r Row) float64 { return r.AllP99 }},
	{"wasted", "Computed while another engine held it", "% of prompt tokens", func(r Row) float64 { return 100 * r.Wasted }},
}

// saveCharts draws each chart for each deployment as a PNG file in dir.
func saveCharts(dir string, rows []Row) error {
	for _, deployment := range distinct(rows, func(r Row) string { return r.Deployment }) {
		for _, f := range charts {
			file := filepath.Join(dir, fmt.Sprintf("%s-%s.png", deployment, f.file))
			if err := f.draw(file, deployment, rows); err != nil {
				return fmt.Errorf("measure: %s: %w", file, err)
			}
		}
	}
	return nil
}

func (f chart) draw(file, deployment string, rows []Row) error {
	rows = slices.DeleteFunc(slices.Clone(rows), func(r Row) bool { return r.Deployment != deployment })
	scenarios := distinct(rows, func(r Row) string { return r.Scenario })
	policies := distinct(rows, func(r Row) string { return r.Policy })
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: %s", deployment, f.title)
	p.Y.Label.Text = f.unit
	p.Y.Min = 0
	p.Legend.Top = true
	p.NominalX(scenarios...)
	width := vg.Points(barsWidth / float64(len(policies)))
	for i, policy := range policies {
		values := make(plotter.Values, len(scenarios))
		for _, r := range rows {
			if r.Policy == policy {
				values[slices.Index(scenarios, r.Scenario)] = f.value(r)
			}
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return err
		}
		bars.LineStyle.Width = 0
		bars.Color = barColor(i, len(policies))
		bars.Offset = width * vg.Length(float64(i)-float64(len(policies)-1)/2)
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	return p.Save(plotWidth, plotHeight, file)
}

// barColor returns a colour for the first policy, which is the measured one, and
// greys for the baselines.
func barColor(i, n int) color.Color {
	if i == 0 {
		return color.RGBA{R: 200, G: 60, B: 40, A: 255}
	}
	return color.Gray{Y: uint8(60 + 160*i/n)}
}

func distinct(rows []Row, name func(Row) string) []string {
	var names []string
	for _, r := range rows {
		if value := name(r); !slices.Contains(names, value) {
			names = append(names, value)
		}
	}
	return names
}
