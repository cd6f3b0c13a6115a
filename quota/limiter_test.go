package quota

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var seeds = flag.Uint64("seeds", 2, "seeds of each size of fleet")

// sizes are fleets and limits of several sizes: many requests a router, less than one a router, and a tenant with few requests in all.
var sizes = []struct {
	routers    int
	rate, mean float64
}{{57, 243765, 9190}, {57, 243765, 800}, {57, 18000, 900}, {12, 40, 1}, {88, 60000, 2400}}

func eachSize(t *testing.T, play func(t *testing.T, f *fleet, rate, mean float64)) {
	for _, size := range sizes {
		for seed := range *seeds {
			t.Run(fmt.Sprintf("%d routers, %g a second by %g, seed %d", size.routers, size.rate, size.mean, seed), func(t *testing.T) {
				t.Parallel()
				play(t, newFleet(seed, size.routers, Limit{Rate: size.rate, Burst: size.rate}), size.rate, size.mean)
			})
		}
	}
}

func wantAtMost(t *testing.T, most float64) {
	t.Helper()
	t.Logf("a window holds %.3f of what is allowed", most)
	if most > 1 {
		t.Errorf("a window holds %.3f of what is allowed", most)
	}
}

func TestUsualRequestsAreAdmitted(t *testing.T) {
	eachSize(t, func(t *testing.T, f *fleet, rate, mean float64) {
		f.run(0, 30*time.Second, usualPart*rate, mean)
		if f.refused > mostRefused*f.asked {
			t.Errorf("%.2f of 100 were refused", 100*f.refused/f.asked)
		}
		wantAtMost(t, f.most(f.limit, 0))
	})
}

func TestManyTimesTheUsualStaysWithinTheLimit(t *testing.T) {
	eachSize(t, func(t *testing.T, f *fleet, rate, mean float64) {
		f.run(0, 12*time.Second, usualPart*rate, mean)
		before := len(f.charges)
		f.run(12*time.Second, 28*time.Second, 7.5*usualPart*rate, mean)
		wantAtMost(t, f.most(f.limit, 0))
		var got float64
		for _, c := range f.charges[before:] {
			got += c.cost
		}
		if fair := rate * 16; got < 0.85*fair {
			t.Errorf("only %.2f of the limit were used", got/fair)
		}
	})
}

// TestPartitionedRoutersStayWithinTheLimit cuts a third of the routers off while the tenant sends many times its usual.
func TestPartitionedRoutersStayWithinTheLimit(t *testing.T) {
	for _, hotAt := range []time.Duration{8 * time.Second, 13 * time.Second, 16 * time.Second} {
		eachSize(t, func(t *testing.T, f *fleet, rate, mean float64) {
			for now := time.Duration(0); now < 30*time.Second; now += time.Second {
				f.partition(now)
				demand := usualPart
				if now >= hotAt {
					demand *= 6
				}
				f.run(now, now+time.Second, demand*rate, mean)
			}
			wantAtMost(t, f.most(f.limit, 0))
		})
	}
}

// partition cuts each third router off after 12 s, which the fleet notices 3 s later, and ends after 22 s.
func (f *fleet) partition(now time.Duration) {
	switch now {
	case 12 * time.Second:
		for i := range len(f.side) / 3 {
			f.side[i*3] = 1
		}
	case 15 * time.Second:
		f.setRouters(now)
	case 22 * time.Second:
		clear(f.side)
		f.setRouters(now)
	}
}

// TestLowerLimitBindsAfterOneWindow lowers a limit far below what is sent.
func TestLowerLimitBindsAfterOneWindow(t *testing.T) {
	eachSize(t, func(t *testing.T, f *fleet, rate, mean float64) {
		f.run(0, 12*time.Second, usualPart*rate, mean)
		lower := Limit{Rate: rate / 4, Burst: rate / 4}
		f.setLimit(lower)
		f.run(12*time.Second, 40*time.Second, usualPart*rate, mean)
		wantAtMost(t, f.most(lower, 12*time.Second+DefaultWindow))
	})
}

// TestDeadRoutersGiveTheirPartBack kills a third of the routers; what they may still use is held back for a while, then goes to the others.
func TestDeadRoutersGiveTheirPartBack(t *testing.T) {
	eachSize(t, func(t *testing.T, f *fleet, rate, mean float64) {
		f.run(0, 12*time.Second, usualPart*rate, mean)
		for i := range len(f.dead) / 3 {
			f.dead[i*3] = true
		}
		f.setRouters(14 * time.Second)
		f.run(12*time.Second, 12*time.Second+staleAfter+forgetAfter, usualPart*rate, mean)
		f.asked, f.refused = 0, 0
		f.run(12*time.Second+staleAfter+forgetAfter, 40*time.Second, usualPart*rate, mean)
		if f.refused > mostRefused*f.asked {
			t.Errorf("%.2f of 100 were refused long after", 100*f.refused/f.asked)
		}
		wantAtMost(t, f.most(f.limit, 0))
	})
}

// TestNewRouterTakesNoMoreThanItsShare: one that has heard of the others, and nothing from them.
func TestNewRouterTakesNoMoreThanItsShare(t *testing.T) {
	l := New("new")
	var names []string
	for i := range 9 {
		names = append(names, routerName(i))
	}
	l.SetRouters(0, append(names, "new"))
	l.SetLimits(map[string]Limit{tenant: {Rate: 100, Burst: 200}})
	var got float64
	for now := time.Duration(0); now < DefaultWindow; now += 10 * time.Millisecond {
		if _, ok := l.Admit(now, tenant, 1); ok {
			got++
		}
	}
	if share := 1000.0 / 10; got < 0.8*share || got > share+1 {
		t.Errorf("%g of a share of %g", got, share)
	}
}
