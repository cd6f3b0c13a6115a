package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Fit is a straight line and a power of x, both fitted to one series of points.
type Fit struct {
	Sweep     string
	Role      Role
	Mechanism Mechanism
	Measure   Measure
	// Statistic is "mean" or "worst": the field of the points that is fitted.
	Statistic string
	Points    int
	// FirstX and LastX bound the fitted points.
	FirstX float64
	LastX  float64
	// Intercept, Slope and R2 (the coefficient of determination) describe the line.
	Intercept float64
	Slope     float64
	R2        float64
	// Residual is the root mean square of the line's errors and MaxResidual the largest one, both as fractions of the points' mean.
	Residual    float64
	MaxResidual float64
	// PowerFactor and Exponent are c and p of the best fit of c·x^p, PowerResidual is its residual. They are 0 if a point has an x or a
	// value that is not positive.
	Exponent      float64
	PowerFactor   float64
	PowerResidual float64
	// LastY is the value of the last point.
	LastY float64
}

// At returns the fitted value at x: the power's if IsPowerLaw, otherwise the line's.
func (f Fit) At(x float64) float64 {
	if f.IsPowerLaw() {
		return f.PowerFactor * math.Pow(x, f.Exponent)
	}
	return f.Intercept + f.Slope*x
}

// IsPowerLaw reports whether a power of x fits better than the line, with less than half of its residual.
func (f Fit) IsPowerLaw() bool { return f.Exponent != 0 && f.PowerResidual < f.Residual/2 }

// relativeErrors returns the root mean square and the largest of the errors of a fitted function, as fractions of the mean of ys.
func relativeErrors(xs, ys []float64, fitted func(x float64) float64) (rms, worst float64) {
	mean := stat.Mean(ys, nil)
	for i := range xs {
		e := math.Abs(ys[i]-fitted(xs[i])) / mean
		rms += e * e
		worst = max(worst, e)
	}
	return math.Sqrt(rms / float64(len(xs))), worst
}

// FitSeries fits one series. It returns false if there are fewer than three points, or if their mean is not positive.
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
	f.Residual, f.MaxResidual = relativeErrors(xs, ys, func(x float64) float64 { return f.Intercept + f.Slope*x })
	var logX, logY []float64
	for i := range xs {
		if xs[i] <= 0 || ys[i] <= 0 {
			return f, true
		}
		logX, logY = append(logX, math.Log(xs[i])), append(logY, math.Log(ys[i]))
	}
	logFactor, exponent := stat.LinearRegression(logX, logY, nil, false)
	f.PowerFactor, f.Exponent = math.Exp(logFactor), exponent
	f.PowerResidual, _ = relativeErrors(xs, ys, func(x float64) float64 { return f.PowerFactor * math.Pow(x, exponent) })
	return f, true
}

// seriesKey identifies the points of one series within a sweep.
type seriesKey struct {
	role      Role
	mechanism Mechanism
	measure   Measure
}

// FitAll fits the means and the worst values of every series of a sweep. The points must be in ascending order of x.
func FitAll(ps []Point) []Fit {
	xs, mean, worst := map[seriesKey][]float64{}, map[seriesKey][]float64{}, map[seriesKey][]float64{}
	var order []seriesKey
	for _, p := range ps {
		s := seriesKey{p.Role, p.Mechanism, p.Measure}
		if xs[s] == nil {
			order = append(order, s)
		}
		xs[s], mean[s], worst[s] = append(xs[s], p.X), append(mean[s], p.Mean), append(worst[s], p.Worst)
	}
	var fs []Fit
	for _, s := range order {
		for _, statistic := range []string{"mean", "worst"} {
			ys := map[string][]float64{"mean": mean[s], "worst": worst[s]}[statistic]
			f, ok := FitSeries(xs[s], ys)
			if !ok {
				continue
			}
			f.Sweep, f.Role, f.Mechanism, f.Measure, f.Statistic = ps[0].Sweep, s.role, s.mechanism, s.measure, statistic
			fs = append(fs, f)
		}
	}
	return fs
}
