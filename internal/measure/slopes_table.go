package measure

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

const (
	// minSizes is the minimum number of sizes for a fit.
	minSizes       = 4
	benchmarksFile = "benchmarks.txt"
	tableFile      = "table.md"
)

// WriteTable fits lines to the points of the files in dir and writes them to
// table.md there.
func WriteTable(dir string) error {
	out, err := os.Create(filepath.Join(dir, tableFile))
	if err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	w := bufio.NewWriter(out)
	if err := errors.Join(writeFits(w, dir), writeBenchmarks(w, dir), w.Flush(), out.Close()); err != nil {
		return fmt.Errorf("measure: table: %w", err)
	}
	return nil
}

func writeFits(w io.Writer, dir string) error {
	fmt.Fprint(w, "# Slopes\n\nWritten by `make capacity` from the files here. A row is the line `intercept + slope × x`,\n"+
		"by least squares; the residual is the largest distance of a point from it. \"(wall)\" is\n"+
		"time on a clock, on a machine that does other work besides; the rest are bytes, counts\n"+
		"and processor time.\n")
	for _, s := range pointsFiles {
		saved, err := loadSlopes(dir, s.kind)
		if errors.Is(err, fs.ErrNotExist) {
			fmt.Fprintf(w, "\n## %s\n\nNot measured.\n", s.kind)
			continue
		}
		if err != nil {
			return err
		}
		lines, err := s.fit(saved.Points)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "\n## %s\n\n%s, commit %s.\n\n", s.kind, saved.Date, saved.Commit)
		fmt.Fprint(w, "| what | intercept | slope | residual | R² | x, sizes, points |\n| --- | --- | --- | --- | --- | --- |\n")
		for _, l := range lines {
			fmt.Fprintln(w, l.row())
		}
	}
	return nil
}

func (l fittedLine) row() string {
	if l.Sizes < minSizes {
		return fmt.Sprintf("| %s | | not fitted: %d sizes | | | |", l.name, l.Sizes)
	}
	return fmt.Sprintf("| %s | %s %s | %s %s a %s | %s | %.3f | %s to %s, %d, %d |",
		l.name, digits(l.Intercept), l.unit, digits(l.Slope), l.unit, l.per, digits(l.Residual), l.R2,
		digits(l.from), digits(l.to), l.Sizes, l.Points)
}

// digits formats v with three significant digits, without an exponent.
func digits(v float64) string {
	if v == 0 || math.IsInf(v, 0) {
		return "0"
	}
	decimals := 2 - int(math.Floor(math.Log10(math.Abs(v))))
	return strconv.FormatFloat(v, 'f', max(decimals, 0), 64)
}

// benchmark has the results of one Go benchmark by unit.
type benchmark struct {
	name   string
	values map[string][]float64
}

// writeBenchmarks writes a table of the lowest and highest results of each
// benchmark in benchmarks.txt, for time and custom units.
func writeBenchmarks(w io.Writer, dir string) error {
	data, err := os.ReadFile(filepath.Join(dir, benchmarksFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "\n## Benchmarks\n\nOf one thing each, in one process, lowest to highest of the runs.\n\n| benchmark | time | other |\n| --- | --- | --- |\n")
	for _, b := range parseBenchmarks(string(data)) {
		var others []string
		for unit, values := range b.values {
			if unit != "ns/op" && unit != "B/op" && unit != "allocs/op" && unit != "MB/s" {
				others = append(others, span(values)+" "+unit)
			}
		}
		slices.Sort(others)
		fmt.Fprintf(w, "| %s | %s ns | %s |\n", b.name, span(b.values["ns/op"]), strings.Join(others, ", "))
	}
	return nil
}

func span(values []float64) string {
	low, high := digits(slices.Min(values)), digits(slices.Max(values))
	if low == high {
		return low
	}
	return low + " to " + high
}

func parseBenchmarks(text string) (all []benchmark) {
	at := map[string]int{}
	for line := range strings.Lines(text) {
		fields := strings.Fields(line)
		if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		name := strings.TrimPrefix(fields[0], "Benchmark")
		if i := strings.LastIndex(name, "-"); i > 0 {
			name = name[:i] // without the GOMAXPROCS suffix
		}
		if _, known := at[name]; !known {
			at[name] = len(all)
			all = append(all, benchmark{name: name, values: map[string][]float64{}})
		}
		for i := 2; i+1 < len(fields); i += 2 {
			if v, err := strconv.ParseFloat(fields[i], 64); err == nil {
				b := all[at[name]]
				b.values[fields[i+1]] = append(b.values[fields[i+1]], v)
			}
		}
	}
	return all
}
