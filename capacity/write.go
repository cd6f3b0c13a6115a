package capacity

import (
	"encoding/csv"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"github.com/gravitational/trace"
)

var pointColumns = []string{"sweep", "x", "nodes", "replicas", "rate", "role", "mechanism", "measure", "mean", "worst"}

var fitColumns = []string{
	"sweep", "role", "mechanism", "measure", "of", "points", "from", "to", "base", "slope", "r2", "residual", "worst", "power", "factor", "powerResidual", "last",
}

// RowError reports a row of a CSV table of points that can't be read.
type RowError struct {
	File, Reason string
	Row          int
}

func (e *RowError) Error() string { return fmt.Sprintf("%s: row %d: %s", e.File, e.Row, e.Reason) }

// Save writes the points and the fits of a sweep as CSV and its plots as SVG files to a directory, which it creates if it doesn't exist.
func Save(dir string, s Sweep, ps []Point) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := writeCSV(filepath.Join(dir, s.Name+".csv"), pointRows(ps)); err != nil {
		return err
	}
	fs := FitAll(ps)
	if err := writeCSV(filepath.Join(dir, s.Name+"-fits.csv"), fitRows(fs)); err != nil {
		return err
	}
	return DrawPlots(dir, s, ps, fs)
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', 6, 64) }

func pointRows(ps []Point) [][]string {
	var rows [][]string
	rows = append(rows, pointColumns)
	for _, p := range ps {
		rows = append(rows, []string{
			p.Sweep, formatNumber(p.X), strconv.Itoa(p.Nodes), strconv.Itoa(p.Replicas), formatNumber(p.Rate), string(p.Role), string(p.Mechanism), string(p.Measure),
			formatNumber(p.Mean), formatNumber(p.Worst),
		})
	}
	return rows
}

func fitRows(fs []Fit) [][]string {
	var rows [][]string
	rows = append(rows, fitColumns)
	for _, f := range fs {
		row := []string{f.Sweep, string(f.Role), string(f.Mechanism), string(f.Measure), f.Statistic, strconv.Itoa(f.Points)}
		for _, v := range []float64{f.FirstX, f.LastX, f.Intercept, f.Slope, f.R2, f.Residual, f.MaxResidual, f.Exponent, f.PowerFactor, f.PowerResidual, f.LastY} {
			row = append(row, formatNumber(v))
		}
		rows = append(rows, row)
	}
	return rows
}

// writeCSV writes rows to a file.
func writeCSV(file string, rows [][]string) error {
	out, err := os.Create(file)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer out.Close()
	return trace.ConvertSystemError(csv.NewWriter(out).WriteAll(rows))
}

// Load reads the points of a sweep that Save wrote.
func Load(dir string, s Sweep) ([]Point, error) {
	file := filepath.Join(dir, s.Name+".csv")
	in, err := os.Open(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer in.Close()
	rows, err := csv.NewReader(in).ReadAll()
	if err != nil {
		return nil, trace.Wrap(&RowError{File: file, Reason: err.Error()})
	}
	var ps []Point
	for i, row := range rows[min(1, len(rows)):] {
		p, err := parsePoint(row)
		if err != nil {
			return nil, trace.Wrap(&RowError{File: file, Row: i + 2, Reason: err.Error()})
		}
		ps = append(ps, p)
	}
	return ps, nil
}

// parsePoint converts a row with the columns of pointColumns to a point.
func parsePoint(row []string) (Point, error) {
	var p Point
	if len(row) != len(pointColumns) {
		return p, &RowError{Reason: fmt.Sprintf("%d columns, want %d", len(row), len(pointColumns))}
	}
	var vs [10]float64
	var err error
	for _, i := range []int{1, 2, 3, 4, 8, 9} {
		if vs[i], err = strconv.ParseFloat(row[i], 64); err != nil {
			return p, err
		}
	}
	return Point{
		Sweep: row[0], X: vs[1], Nodes: int(vs[2]), Replicas: int(vs[3]), Rate: vs[4], Role: Role(row[5]), Mechanism: Mechanism(row[6]),
		Measure: Measure(row[7]), Mean: vs[8], Worst: vs[9],
	}, nil
}
