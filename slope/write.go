package slope

import (
	"encoding/csv"
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"

	"github.com/gravitational/trace"
)

// Save writes a sweep's points as CSV, its fits as JSON and its plots as SVG.
func Save(dir string, s Sweep, ps []Point) (err error) {
	if err = os.MkdirAll(dir, 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	if err = writePoints(filepath.Join(dir, s.Name+".csv"), ps); err != nil {
		return err
	}
	fs := Fits(ps)
	raw, err := json.MarshalIndent(fs, "", " ")
	if err != nil {
		return trace.Wrap(err)
	}
	if err = os.WriteFile(filepath.Join(dir, s.Name+"-fits.json"), append(raw, '\n'), 0o644); err != nil {
		return trace.ConvertSystemError(err)
	}
	return Draw(dir, s, ps, fs)
}

func writePoints(file string, ps []Point) (err error) {
	out, err := os.Create(file)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer out.Close()
	w := csv.NewWriter(out)
	_ = w.Write([]string{"sweep", "x", "nodes", "replicas", "rate", "role", "mechanism", "measure", "mean", "worst"})
	num := func(v float64) (text string) { return strconv.FormatFloat(v, 'g', 6, 64) }
	for _, p := range ps {
		_ = w.Write([]string{
			p.Sweep, num(p.X), strconv.Itoa(p.Nodes), strconv.Itoa(p.Replicas), num(p.Rate), string(p.Role), string(p.Mechanism), string(p.Measure),
			num(p.Mean), num(p.Worst),
		})
	}
	w.Flush()
	return trace.ConvertSystemError(w.Error())
}
