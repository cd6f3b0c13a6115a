package capacity

import (
	"image/color"
	"path/filepath"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// maxSeries is how many mechanisms a plot shows.
const maxSeries = 6

// drawnMeasures are the measures that are drawn, and under which name.
var drawnMeasures = []struct {
	measure Measure
	name    string
}{
	{BytesSent, "bytes"}, {Sent, "messages"}, {CPU, "cpu"}, {StateBytes, "state"}, {AcrossRegions, "regions"},
}

// DrawPlots writes an SVG plot of each measure of a sweep: the mean node by mechanism, the worst node's sum, and their lines.
func DrawPlots(dir string, s Sweep, ps []Point, fs []Fit) error {
	for _, what := range drawnMeasures {
		p := plot.New()
		p.Title.Text = s.Name + ": " + string(what.measure)
		p.X.Label.Text, p.Y.Label.Text = s.Axis, string(what.measure)
		p.X.Min, p.Y.Min = 0, 0
		p.Legend.Top, p.Legend.Left = true, true
		p.Add(plotter.NewGrid())
		found := false
		for i, m := range heaviest(ps, what.measure) {
			found = true
			if err := (plottedSeries{m, what.measure, "mean", plotutil.Color(i)}).draw(p, ps, fs); err != nil {
				return err
			}
		}
		if !found {
			continue
		}
		if err := (plottedSeries{All, what.measure, "worst", color.Black}).draw(p, ps, fs); err != nil {
			return err
		}
		file := filepath.Join(dir, s.Name+"-"+what.name+".svg")
		if err := p.Save(7*vg.Inch, 4*vg.Inch, file); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	return nil
}

func heaviest(ps []Point, what Measure) []Mechanism {
	most := map[Mechanism]float64{}
	for _, p := range ps {
		if p.Role == Any && p.Measure == what && p.Mechanism != All && p.Mechanism != AllControl {
			most[p.Mechanism] = max(most[p.Mechanism], p.Mean)
		}
	}
	var ms []Mechanism
	for m := range most {
		ms = append(ms, m)
	}
	slices.SortFunc(ms, func(a, b Mechanism) int {
		switch {
		case most[a] > most[b]:
			return -1
		case most[a] < most[b]:
			return 1
		}
		return strings.Compare(string(a), string(b))
	})
	return ms[:min(maxSeries, len(ms))]
}

// A plottedSeries is the mean or the worst of one measure, of one mechanism.
type plottedSeries struct {
	mechanism Mechanism
	measure   Measure
	of        string
	color     color.Color
}

// draw adds the points of the plottedSeries and the line fitted to them.
func (s plottedSeries) draw(p *plot.Plot, ps []Point, fs []Fit) error {
	var xys plotter.XYs
	for _, pt := range ps {
		if pt.Role == Any && pt.Mechanism == s.mechanism && pt.Measure == s.measure {
			xys = append(xys, plotter.XY{X: pt.X, Y: map[string]float64{"mean": pt.Mean, "worst": pt.Worst}[s.of]})
		}
	}
	dots, err := plotter.NewScatter(xys)
	if err != nil {
		return trace.Wrap(err)
	}
	dots.Color, dots.Radius = s.color, vg.Points(2.5)
	p.Add(dots)
	p.Legend.Add(string(s.mechanism)+", "+s.of, dots)
	for _, f := range fs {
		if f.Role != Any || f.Mechanism != s.mechanism || f.Measure != s.measure || f.Statistic != s.of {
			continue
		}
		line := plotter.NewFunction(f.At)
		line.Color, line.XMin, line.XMax = s.color, f.FirstX, f.LastX
		p.Add(line)
	}
	return nil
}
