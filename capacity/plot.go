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

// maxPlottedMechanisms is the number of mechanisms that a plot shows.
const maxPlottedMechanisms = 6

// plottedMeasures are the measures that get a plot, with the name of each in the file names.
var plottedMeasures = []struct {
	measure Measure
	name    string
}{
	{BytesSent, "bytes"}, {Sent, "messages"}, {CPU, "cpu"}, {StateBytes, "state"}, {AcrossRegions, "regions"},
}

// DrawPlots writes an SVG plot of each plotted measure of a sweep. A plot shows the mean of the top mechanisms and, in black, the worst node's
// sum over all mechanisms, with their points and fitted functions.
func DrawPlots(dir string, s Sweep, ps []Point, fs []Fit) error {
	for _, plotted := range plottedMeasures {
		p := plot.New()
		p.Title.Text = s.Name + ": " + string(plotted.measure)
		p.X.Label.Text, p.Y.Label.Text = s.Axis, string(plotted.measure)
		p.X.Min, p.Y.Min = 0, 0
		p.Legend.Top, p.Legend.Left = true, true
		p.Add(plotter.NewGrid())
		found := false
		for i, m := range topMechanisms(ps, plotted.measure) {
			found = true
			if err := (plottedSeries{m, plotted.measure, "mean", plotutil.Color(i)}).draw(p, ps, fs); err != nil {
				return err
			}
		}
		if !found {
			continue
		}
		if err := (plottedSeries{All, plotted.measure, "worst", color.Black}).draw(p, ps, fs); err != nil {
			return err
		}
		file := filepath.Join(dir, s.Name+"-"+plotted.name+".svg")
		if err := p.Save(7*vg.Inch, 4*vg.Inch, file); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	return nil
}

// topMechanisms returns the mechanisms with the highest mean values of a measure in any run, highest first.
func topMechanisms(ps []Point, measure Measure) []Mechanism {
	highest := map[Mechanism]float64{}
	for _, p := range ps {
		if p.Role == Any && p.Measure == measure && p.Mechanism != All && p.Mechanism != AllControl {
			highest[p.Mechanism] = max(highest[p.Mechanism], p.Mean)
		}
	}
	var ms []Mechanism
	for m := range highest {
		ms = append(ms, m)
	}
	slices.SortFunc(ms, func(a, b Mechanism) int {
		switch {
		case highest[a] > highest[b]:
			return -1
		case highest[a] < highest[b]:
			return 1
		}
		return strings.Compare(string(a), string(b))
	})
	return ms[:min(maxPlottedMechanisms, len(ms))]
}

// plottedSeries is the mean or the worst value of one measure of one mechanism, in one color.
type plottedSeries struct {
	mechanism Mechanism
	measure   Measure
	statistic string
	color     color.Color
}

// draw adds the points of the series and the function fitted to them to a plot.
func (s plottedSeries) draw(p *plot.Plot, ps []Point, fs []Fit) error {
	var xys plotter.XYs
	for _, pt := range ps {
		if pt.Role == Any && pt.Mechanism == s.mechanism && pt.Measure == s.measure {
			xys = append(xys, plotter.XY{X: pt.X, Y: map[string]float64{"mean": pt.Mean, "worst": pt.Worst}[s.statistic]})
		}
	}
	dots, err := plotter.NewScatter(xys)
	if err != nil {
		return trace.Wrap(err)
	}
	dots.Color, dots.Radius = s.color, vg.Points(2.5)
	p.Add(dots)
	p.Legend.Add(string(s.mechanism)+", "+s.statistic, dots)
	for _, f := range fs {
		if f.Role != Any || f.Mechanism != s.mechanism || f.Measure != s.measure || f.Statistic != s.statistic {
			continue
		}
		line := plotter.NewFunction(f.At)
		line.Color, line.XMin, line.XMax = s.color, f.FirstX, f.LastX
		p.Add(line)
	}
	return nil
}
