package quota_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/quota"
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
				play(t, newFleet(seed, size.routers, quota.Limit{Rate: size.rate, Burst: size.rate}), size.rate, size.mean)
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

func wantFewRefused(t *testing.T, f *fleet) {
	t.Helper()
	t.Logf("%.2f of 100 were refused", 100*f.refused/f.demanded)
	if f.refused > mostRefused*f.demanded {
		t.Errorf("%.2f of 100 were refused", 100*f.refused/f.demanded)
	}
}

func TestUsualRequestsAreAdmitted(t *testing.T) {
	eachSize(t, func(t *testing.T, f *fleet, rate, mean float64) {
		f.run(0, 30*time.Second, usualPart*rate, mean)
		wantFewRefused(t, f)
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

// TestPartitionedRoutersStayWithinTheLimit cuts a zone, or a third of each zone, off while the tenant sends many times its usual.
func TestPartitionedRoutersStayWithinTheLimit(t *testing.T) {
	for name, cut := range map[string]func(i int) bool{"a zone": func(i int) bool { return i%zones == 0 }, "a third of each": func(i int) bool { return i/zones%3 == 1 }} {
		for _, hotAt := range []time.Duration{8 * time.Second, 13 * time.Second, 16 * time.Second} {
			t.Run(fmt.Sprint(name, " ", hotAt), func(t *testing.T) {
				eachSize(t, func(t *testing.T, f *fleet, rate, mean float64) {
					for now := time.Duration(0); now < 30*time.Second; now += time.Second {
						f.partition(now, cut)
						demand := usualPart
						if now >= hotAt {
							demand *= 6
						}
						f.run(now, now+time.Second, demand*rate, mean)
					}
					wantAtMost(t, f.most(f.limit, 0))
				})
			})
		}
	}
}

// partition cuts routers off after 12 s, which the fleet notices 3 s later, and ends after 22 s.
func (f *fleet) partition(now time.Duration, cut func(i int) bool) {
	switch now {
	case 12 * time.Second:
		for i := range f.side {
			if cut(i) {
				f.side[i] = 1
			}
		}
	case 15 * time.Second:
		f.notify(now)
	case 22 * time.Second:
		clear(f.side)
		f.notify(now)
	}
}

// TestLowerLimitBindsAfterOneWindow lowers a limit far below what is sent.
func TestLowerLimitBindsAfterOneWindow(t *testing.T) {
	eachSize(t, func(t *testing.T, f *fleet, rate, mean float64) {
		f.run(0, 12*time.Second, usualPart*rate, mean)
		lower := quota.Limit{Rate: rate / 4, Burst: rate / 4}
		f.setLimit(12*time.Second, lower)
		f.run(12*time.Second, 40*time.Second, usualPart*rate, mean)
		wantAtMost(t, f.most(lower, 12*time.Second+f.rule.Window))
	})
}

// TestDeadRoutersGiveTheirPartBack kills a third of the routers; others get to own their zones' shares.
func TestDeadRoutersGiveTheirPartBack(t *testing.T) {
	eachSize(t, func(t *testing.T, f *fleet, rate, mean float64) {
		f.run(0, 12*time.Second, usualPart*rate, mean)
		for i := range f.dead {
			f.dead[i] = i/zones%3 == 1
		}
		f.run(12*time.Second, 14*time.Second, usualPart*rate, mean)
		f.notify(14 * time.Second)
		f.run(14*time.Second, 14*time.Second+takeover, usualPart*rate, mean)
		f.demanded, f.refused = 0, 0
		f.run(14*time.Second+takeover, 40*time.Second, usualPart*rate, mean)
		wantFewRefused(t, f)
		wantAtMost(t, f.most(f.limit, 0))
	})
}

// TestDeadZoneGivesItsPartBack kills each third router, which is a zone; the others get what it may use no longer.
func TestDeadZoneGivesItsPartBack(t *testing.T) {
	eachSize(t, func(t *testing.T, f *fleet, rate, mean float64) {
		f.run(0, 12*time.Second, usualPart*rate, mean)
		for i := range f.dead {
			f.dead[i] = i%zones == 0
		}
		f.notify(14 * time.Second)
		f.run(12*time.Second, 24*time.Second, usualPart*rate, mean)
		f.demanded, f.refused = 0, 0
		f.run(24*time.Second, 40*time.Second, usualPart*rate, mean)
		wantFewRefused(t, f)
		wantAtMost(t, f.most(f.limit, 0))
	})
}

// TestLateMessagesDoNotRaiseTheLimit has a tenant go from nothing to many times its limit while what nodes tell each other is late.
func TestLateMessagesDoNotRaiseTheLimit(t *testing.T) {
	for name, delay := range map[string][2]time.Duration{
		"somewhat": {20 * time.Millisecond, 300 * time.Millisecond}, "very": {300 * time.Millisecond, 1100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			eachSize(t, func(t *testing.T, f *fleet, rate, mean float64) {
				f.leastDelay, f.delayRange = delay[0], delay[1]
				f.run(0, 10*time.Second, 0, mean)
				f.run(10*time.Second, 30*time.Second, 7.5*usualPart*rate, mean)
				wantAtMost(t, f.most(f.limit, 0))
			})
		})
	}
}

// TestRestartsInSeriesDoNotRaiseTheLimit restarts one router after the other under its name while a tenant asks for twice its limit.
func TestRestartsInSeriesDoNotRaiseTheLimit(t *testing.T) {
	const restartEvery = 150 * time.Millisecond
	eachSize(t, func(t *testing.T, f *fleet, rate, mean float64) {
		f.run(0, 12*time.Second, 2*rate, mean)
		for i, now := 0, 12*time.Second; now < 30*time.Second; i, now = i+1, now+restartEvery {
			f.restart(now, i%len(f.nodes))
			f.run(now, now+restartEvery, 2*rate, mean)
		}
		wantAtMost(t, f.most(f.limit, 0))
	})
}

// TestShareThatChangesHandsDoesNotRaiseTheLimit has nodes be taken for dead by some and for alive by others, each one in turn within the takeover.
func TestShareThatChangesHandsDoesNotRaiseTheLimit(t *testing.T) {
	const noticeEvery = 20 * time.Millisecond
	eachSize(t, func(t *testing.T, f *fleet, rate, mean float64) {
		f.run(0, 12*time.Second, usualPart*rate, mean)
		for i, now := 0, 12*time.Second; now < 40*time.Second; now += noticeEvery {
			i = (i + 1) % len(f.nodes)
			f.disagree(now, i)
			f.run(now, now+noticeEvery, 4*rate, mean)
		}
		wantAtMost(t, f.most(f.limit, 0))
	})
}

// disagree has node i take some others for dead that are alive.
func (f *fleet) disagree(now time.Duration, i int) {
	f.notifyOne(now, i)
	f.nodes[i].sees = f.forgetSome(i)
	f.nodes[i].owner.KeepOwned(now+takeover, func(string) bool { return f.ownerOf(i, i%zones) == i })
}

// forgetSome leaves out a tenth of the nodes that node i sees.
func (f *fleet) forgetSome(i int) []int {
	var left []int
	for _, j := range f.nodes[i].sees {
		if j == i || f.rng.IntN(10) > 0 {
			left = append(left, j)
		}
	}
	return left
}
