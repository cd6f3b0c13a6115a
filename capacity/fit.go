package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Fit is a straight line through the points of one measure, and the power of x that they go with.
type Fit struct {
	Sweep     string
	Role      Role
	Mechanism Mechanism
	Measure   Measure
	// Statistic is the mean or the worst node.
	Statistic string
	Points    int
	FirstX    float64
	LastX     float64
	Intercept float64
	Slope     float64
	R2        float64
	// Residual is the root mean square of what the line misses, as a share of the points' mean; Worst is the most it misses.
	Residual    float64
	MaxResidual float64
	// Exponent is the exponent of x in the best c·x^p, and PowerResidual what that misses; 0 where a point is naught.
	Exponent      float64
	PowerFactor   float64
	PowerResidual float64
	LastY         float64
}

// At is the line's value at x, or the power's where that misses less than half as much.
func (f Fit) At(x float64) float64 {
	if f.IsPowerLaw() {
		return f.PowerFactor * math.Pow(x, f.Exponent)
	}
	return f.Intercept + f.Slope*x
}

// IsPowerLaw tells whether the points go with a power of x rather than with a line.
func (f Fit) IsPowerLaw() bool { return f.Exponent != 0 && f.PowerResidual < f.Residual/2 }

func misses(xs, ys []float64, at func(x float64) float64) (rms, worst float64) {
	mean := stat.Mean(ys, nil)
	for i := range xs {
		miss := math.Abs(ys[i]-at(xs[i])) / mean
		rms += miss * miss
		worst = max(worst, miss)
	}
	return math.Sqrt(rms / float64(len(xs))), worst
}

// FitSeries fits one series; fewer than three points or no positive one give none.
func FitSeries(xs, ys []float64) (Fit, bool) {
	var f Fit
	if len(xs) < 3 || stat.Mean(ys, nil) <= 0 {
		return f, false
	}
	f.Points, f.FirstX, f.LastX, f.LastY = len(xs), xs[0], xs[len(xs)-1], ys[len(ys)-1]
	f.Intercept, f.Slope = stat.LinearRegression(xs, ys, nil, false)
	f.R2 = stat.RSquared(xs, ys, nil, f.Intercept, f.Slope)
	if math.IsNaN(f.R2) || math.IsInf(f.R2, 0) {
		f.R2 = 1
	}
	f.Residual, f.MaxResidual = misses(xs, ys, func(x float64) float64 { return f.Intercept + f.Slope*x })
	var lx, ly []float64
	for i := range xs {
		if xs[i] <= 0 || ys[i] <= 0 {
			return f, true
		}
		lx, ly = append(lx, math.Log(xs[i])), append(ly, math.Log(ys[i]))
	}
	c, p := stat.LinearRegression(lx, ly, nil, false)
	f.PowerFactor, f.Exponent = math.Exp(c), p
	f.PowerResidual, _ = misses(xs, ys, func(x float64) float64 { return f.PowerFactor * math.Pow(x, p) })
	return f, true
}

type series struct {
	role      Role
	mechanism Mechanism
	measure   Measure
}

// FitAll are lines through all series of a sweep's points, which come in order of x.
func FitAll(ps []Point) []Fit {
	xs, mean, worst := map[series][]float64{}, map[series][]float64{}, map[series][]float64{}
	var order []series
	for _, p := range ps {
		s := series{p.Role, p.Mechanism, p.Measure}
		if xs[s] == nil {
			order = append(order, s)
		}
		xs[s], mean[s], worst[s] = append(xs[s], p.X), append(mean[s], p.Mean), append(worst[s], p.Worst)
	}
	var fs []Fit
	for _, s := range order {
		for _, of := range []string{"mean", "worst"} {
			ys := map[string][]float64{"mean": mean[s], "worst": worst[s]}[of]
			f, ok := FitSeries(xs[s], ys)
			if !ok {
				continue
			}
			f.Sweep, f.Role, f.Mechanism, f.Measure, f.Statistic = ps[0].Sweep, s.role, s.mechanism, s.measure, of
			fs = append(fs, f)
		}
	}
	return fs
}
