package measure

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
)

// Fit is a line fitted to points by least squares.
type Fit struct {
	Points int
	// Sizes is the number of x values that differ by more than the noise of
	// repeated measurements.
	Sizes            int
	Intercept, Slope float64
	// Residual is the largest vertical distance of a point from the line; R2 is the
	// coefficient of determination.
	Residual, R2 float64
}

func fitLine(x, y []float64) Fit {
	f := Fit{Points: len(x), Sizes: countSizes(x), R2: 1}
	var meanX, meanY, xx, xy, yy, residualSquares float64
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
		residualSquares += r * r
	}
	if yy > 0 {
		f.R2 = 1 - residualSquares/yy
	}
	return f
}

// countSizes counts the x values that differ from the next smaller counted one by
// more than 5 percent.
func countSizes(x []float64) (n int) {
	const minRatio = 1.05
	last := math.Inf(-1)
	for _, v := range slices.Sorted(slices.Values(x)) {
		if math.IsInf(last, -1) || v > last*minRatio {
			n, last = n+1, v
		}
	}
	return n
}

// lineSpec describes one line that is fitted to the points of a file.
type lineSpec[P any] struct {
	name, unit, per string
	// pick returns a point's x, and its y in unit. ok is false for points that
	// don't belong to this line.
	pick func(p P) (x, y float64, ok bool)
}

// fittedLine is a line with its fit.
type fittedLine struct {
	kind, name, unit, per string
	Fit
	from, to float64 // range of x
}

// pointsFile is a file of points and the lines to fit to them.
type pointsFile struct {
	kind string
	fit  func(points json.RawMessage) ([]fittedLine, error)
}

func newPointsFile[P any](kind string, lines ...lineSpec[P]) pointsFile {
	return pointsFile{kind: kind, fit: func(data json.RawMessage) (all []fittedLine, err error) {
		var points []P
		if err := json.Unmarshal(data, &points); err != nil {
			return nil, fmt.Errorf("measure: points of %s: %w", kind, err)
		}
		for _, l := range lines {
			f := fittedLine{kind: kind, name: l.name, unit: l.unit, per: l.per, from: math.Inf(1), to: math.Inf(-1)}
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
