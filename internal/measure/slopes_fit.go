package measure

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
)

// Fit is a least-squares line through points.
type Fit struct {
	Points int
	// Sizes is how many x there are that differ by more than the noise of repeats.
	Sizes            int
	Intercept, Slope float64
	// Residual is the largest distance from the line; R2 the share of y's variance
	// that the line explains.
	Residual, R2 float64
}

func fitLine(x, y []float64) Fit {
	f := Fit{Points: len(x), Sizes: sizes(x), R2: 1}
	var meanX, meanY, xx, xy, yy, rest float64
	for i := range x {
		meanX += x[i] / float64(len(x))
		meanY += y[i] / float64(len(x))
	}
	for i := range x {
		dx, dy := x[i]-meanX, y[i]-meanY
		xx, xy, yy = xx+dx*dx, xy+dx*dy, yy+dy*dy
	}
	if xx > 0 {
		f.Slope = xy / xx
	}
	f.Intercept = meanY - f.Slope*meanX
	for i := range x {
		r := y[i] - f.Intercept - f.Slope*x[i]
		f.Residual = max(f.Residual, math.Abs(r))
		rest += r * r
	}
	if yy > 0 {
		f.R2 = 1 - rest/yy
	}
	return f
}

// sizes counts x that are apart by more than a twentieth.
func sizes(x []float64) (n int) {
	const apart = 1.05
	last := math.Inf(-1)
	for _, v := range slices.Sorted(slices.Values(x)) {
		if math.IsInf(last, -1) || v > last*apart {
			n, last = n+1, v
		}
	}
	return n
}

// line is one slope that is taken from the points of a file.
type line[P any] struct {
	what, unit, per string
	// pick returns a point's x and y, in units; ok is false for points of others.
	pick func(p P) (x, y float64, ok bool)
}

// fitted is a line with its fit.
type fitted struct {
	kind, what, unit, per string
	Fit
	from, to float64 // of x
}

// source is a file of points and what to fit.
type source struct {
	kind string
	fit  func(points json.RawMessage) ([]fitted, error)
}

func linesOf[P any](kind string, lines ...line[P]) source {
	return source{kind: kind, fit: func(data json.RawMessage) (all []fitted, err error) {
		var points []P
		if err := json.Unmarshal(data, &points); err != nil {
			return nil, fmt.Errorf("measure: points of %s: %w", kind, err)
		}
		for _, l := range lines {
			f := fitted{kind: kind, what: l.what, unit: l.unit, per: l.per, from: math.Inf(1), to: math.Inf(-1)}
			var xs, ys []float64
			for _, p := range points {
				if x, y, ok := l.pick(p); ok {
					xs, ys = append(xs, x), append(ys, y)
					f.from, f.to = min(f.from, x), max(f.to, x)
				}
			}
			f.Fit = fitLine(xs, ys)
			all = append(all, f)
		}
		return all, nil
	}}
}
