package capacity

import (
	"errors"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"testing"

	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/transport"
)

func approxEqual(a, b float64) bool { return math.Abs(a-b) <= 1e-6*max(1, math.Abs(b)) }

func TestFitOfALine(t *testing.T) {
	f, ok := FitSeries([]float64{1, 2, 4, 8}, []float64{13, 16, 22, 34})
	if !ok || !approxEqual(f.Intercept, 10) || !approxEqual(f.Slope, 3) || f.Residual > 1e-9 || !approxEqual(f.R2, 1) || f.IsPowerLaw() {
		t.Errorf("10 + 3x is fitted by %+v", f)
	}
	if !approxEqual(f.At(100), 310) {
		t.Errorf("at 100: %g, want 310", f.At(100))
	}
}

func TestSquareFollowsPowerLaw(t *testing.T) {
	f, ok := FitSeries([]float64{1, 2, 4, 8}, []float64{2, 8, 32, 128})
	if !ok || !f.IsPowerLaw() || !approxEqual(f.Exponent, 2) || !approxEqual(f.At(16), 512) {
		t.Errorf("2x² is fitted by %+v", f)
	}
}

func TestResidualIsAFractionOfTheMean(t *testing.T) {
	f, ok := FitSeries([]float64{0, 1, 2}, []float64{9, 12, 9})
	if !ok || !approxEqual(f.Intercept, 10) || !approxEqual(f.Slope, 0) || !approxEqual(f.MaxResidual, 0.2) || !approxEqual(f.Residual, math.Sqrt(0.02)) {
		t.Errorf("values around 10 are fitted by %+v", f)
	}
}

func TestTooFewPointsGiveNoFit(t *testing.T) {
	if _, ok := FitSeries([]float64{1, 2}, []float64{1, 2}); ok {
		t.Error("two points gave a fit")
	}
	if _, ok := FitSeries([]float64{1, 2, 3}, []float64{0, 0, 0}); ok {
		t.Error("zeros gave a fit")
	}
}

func TestFitAllSeparatesSeries(t *testing.T) {
	var ps []Point
	for _, x := range []float64{1, 2, 3} {
		ps = append(ps, Point{Sweep: "s", X: x, Role: Any, Mechanism: LoadGossip, Measure: Sent, Mean: x, Worst: 2 * x})
		ps = append(ps, Point{Sweep: "s", X: x, Role: Any, Mechanism: Leases, Measure: Sent, Mean: 5, Worst: 5})
	}
	fs := FitAll(ps)
	if len(fs) != 4 || !approxEqual(fs[0].Slope, 1) || !approxEqual(fs[1].Slope, 2) || fs[1].Statistic != "worst" || !approxEqual(fs[2].Slope, 0) || !approxEqual(fs[2].Intercept, 5) {
		t.Errorf("fits are %+v", fs)
	}
}

func TestUnknownSweepIsReported(t *testing.T) {
	_, err := SelectSweeps(Sweeps([]float64{1}), []string{"nodes", "nowhere"})
	var bad *UnknownSweepError
	if !errors.As(err, &bad) || bad.Name != "nowhere" {
		t.Errorf("got %v", err)
	}
}

type row struct {
	name string
	next *row
	tags []string
}

func TestSizeOfStructs(t *testing.T) {
	shared := &row{name: "0123456789abcdef"}
	// row is 16 + 8 + 24 bytes, its name a block of 16 bytes. The shared row is counted once.
	want := uint64(2*8) + 48 + 16
	if got := DeepSize([2]*row{shared, shared}); got != want {
		t.Errorf("got %d, want %d", got, want)
	}
	cycle := &row{}
	cycle.next = cycle
	if got := DeepSize(cycle); got != 8+48 {
		t.Errorf("a cycle takes %d bytes, want 56", got)
	}
}

func TestSizeAgainstTheHeap(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m := map[string]*row{}
	for i := range 50000 {
		name := "request-" + strconv.Itoa(100000+i)
		m[name] = &row{name: name, tags: []string{"x"}}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	heap, got := float64(after.HeapAlloc-before.HeapAlloc), float64(DeepSize(m))
	runtime.KeepAlive(m)
	if got < 0.75*heap || got > 1.33*heap {
		t.Errorf("estimated %.0f bytes, the heap grew by %.0f", got, heap)
	}
}

func TestThreadClockNeverGoesBack(t *testing.T) {
	clock := ThreadClock()
	last := clock()
	for range 10000 {
		now := clock()
		if now < last {
			t.Fatalf("the clock went back from %s to %s", last, now)
		}
		last = now
	}
}

func TestSavedPointsAreReadBack(t *testing.T) {
	dir, s := t.TempDir(), Sweep{Name: "s", Axis: "x"}
	var ps []Point
	for _, x := range []float64{1, 2, 3} {
		ps = append(ps, Point{Sweep: "s", X: x, Nodes: 3, Replicas: 1, Rate: 0.5, Role: Any, Mechanism: LoadGossip, Measure: Sent, Mean: x, Worst: 2 * x})
		ps = append(ps, Point{Sweep: "s", X: x, Nodes: 3, Replicas: 1, Rate: 0.5, Role: Any, Mechanism: All, Measure: Sent, Mean: x, Worst: 2 * x})
	}
	if err := Save(dir, s, ps); err != nil {
		t.Fatal(err)
	}
	got, err := Load(dir, s)
	if err != nil || !slices.Equal(got, ps) {
		t.Errorf("got %+v, %v", got, err)
	}
	if _, err = os.Stat(filepath.Join(dir, "s-messages.svg")); err != nil {
		t.Error(err)
	}
	if err = os.WriteFile(filepath.Join(dir, "s.csv"), []byte("sweep\na,b\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var bad *RowError
	if _, err = Load(dir, s); !errors.As(err, &bad) {
		t.Errorf("got %v", err)
	}
}

// TestFramesOfPrefills pins the frame sizes that the calculations in docs/CAPACITY.md use.
func TestFramesOfPrefills(t *testing.T) {
	w, row := transport.NewWriter(), router.Prefill{Replica: "r123", Tokens: 5000}
	if _, err := w.Frame(control.Prefills{Rows: []router.Prefill{row}}); err != nil {
		t.Fatal(err)
	}
	for rows, want := range map[int]int{1: 27, 2: 38, 4: 60} {
		frame, err := w.Frame(control.Prefills{Rows: slices.Repeat([]router.Prefill{row}, rows)})
		if err != nil || len(frame) != want {
			t.Errorf("%d rows take %d bytes (error %v), want %d bytes", rows, len(frame), err, want)
		}
	}
	if m := mechanismOfMessage(control.Prefills{}); m != Prefills || m.IsControl() {
		t.Errorf("prefills are counted as %s", m)
	}
}
