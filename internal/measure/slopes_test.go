package measure

import (
	"encoding/json"
	"math"
	"slices"
	"testing"
)

func TestFitLine(t *testing.T) {
	for _, tt := range []struct {
		name string
		x, y []float64
		want Fit
	}{
		{"exact", []float64{1, 2, 4, 8}, []float64{5, 7, 11, 19}, Fit{4, 4, 3, 2, 0, 1}},
		{"off the line", []float64{0, 1, 2, 3}, []float64{0, 2, 0, 2}, Fit{4, 4, 0.4, 0.4, 1.2, 0.2}},
		{"one size", []float64{3, 3}, []float64{4, 6}, Fit{2, 1, 5, 0, 1, 0}},
	} {
		got := fitLine(tt.x, tt.y)
		for i, pair := range [][2]float64{
			{got.Intercept, tt.want.Intercept}, {got.Slope, tt.want.Slope}, {got.Residual, tt.want.Residual}, {got.R2, tt.want.R2},
		} {
			if math.Abs(pair[0]-pair[1]) > 1e-9 {
				t.Errorf("%s: figure %d is %v, want %v", tt.name, i, pair[0], pair[1])
			}
		}
		if got.Points != tt.want.Points || got.Sizes != tt.want.Sizes {
			t.Errorf("%s: %d points of %d sizes", tt.name, got.Points, got.Sizes)
		}
	}
}

// The points of each file must decode into the type from which its lines pick.
func TestLinesTakeTheirPoints(t *testing.T) {
	for _, s := range pointsFiles {
		lines, err := s.fit(json.RawMessage(`[{},{}]`))
		if err != nil || len(lines) == 0 {
			t.Errorf("%s: %d lines, %v", s.kind, len(lines), err)
		}
	}
	many := newPointsFile("many", lineSpec[float64]{"what", "B", "thing", func(p float64) (float64, float64, bool) { return p, 2*p + 1, p > 0 }})
	lines, err := many.fit(json.RawMessage(`[-1, 1, 2, 3, 400]`))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := lines[0].row(), "| what | 1.00 B | 2.00 B a thing | 0 | 1.000 | 1.00 to 400, 4, 4 |"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

func TestParseBenchmarks(t *testing.T) {
	got := parseBenchmarks("pkg: x\nBenchmarkA/one-12 10 250 ns/op 26.0 frame-bytes\nBenchmarkA/one-12 10 240 ns/op 26.0 frame-bytes\nok x 1s\n")
	if len(got) != 1 || got[0].name != "A/one" || !slices.Equal(got[0].values["ns/op"], []float64{250, 240}) || span(got[0].values["ns/op"]) != "240 to 250" {
		t.Errorf("got %+v", got)
	}
}
