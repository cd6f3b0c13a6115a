package quota_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/quota"
)

var seeds = flag.Uint64("seeds", 2, "seeds of each size of fleet")

// sizes are fleets and limits with many requests per router, with less than one request per second and router, and with
// few requests in total.
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

func wantWithinLimit(t *testing.T, usage float64) {
	t.Helper()
	t.Logf("a window contains %.3f of what is allowed", usage)
	if usage > 1 {
		t.Errorf("a window contains %.3f of what is allowed", usage)
	}
}

func wantFewRefused(t *testing.T, f *fleet) {
	t.Helper()
	t.Logf("%.2f %% of the cost was refused", 100*f.refused/f.demanded)
	if f.refused > maxRefused*f.demanded {
		t.Errorf("%.2f %% of the cost was refused", 100*f.refused/f.demanded)
	}
}

func TestNormalLoadIsGranted(t *testing.T) {
	eachSize(t, func(t *testing.T, f *fleet, rate, mean float64) {
		f.run(0, 30*time.Second, normalLoad*rate, mean)
		wantFewRefused(t, f)
		wantWithinLimit(t, f.maxWindowUsage(f.limit, 0))
	})
}

func TestOverloadStaysWithinTheLimit(t *testing.T) {
	eachSize(t, func(t *testing.T, f *fleet, rate, mean float64) {
		f.run(0, 12*time.Second, normalLoad*rate, mean)
		before := len(f.charges)
		f.run(12*time.Second, 28*time.Second, 7.5*normalLoad*rate, mean)
		wantWithinLimit(t, f.maxWindowUsage(f.limit, 0))
		var got float64
		for _, c := range f.charges[before:] {
			got += c.cost
		}
		if fair := rate * 16; got < 0.85*fair {
			t.Errorf("only %.2f of the limit was used", got/fair)
		}
	})
}

// TestPartitionedRoutersStayWithinTheLimit separates a zone, or a third of each zone, while the tenant requests many
// times its normal cost.
func TestPartitionedRoutersStayWithinTheLimit(t *testing.T) {
	for name, cut := range map[string]func(i int) bool{"a zone": func(i int) bool { return i%zones == 0 }, "a third of each": func(i int) bool { return i/zones%3 == 1 }} {
		for _, overloadFrom := range []time.Duration{8 * time.Second, 13 * time.Second, 16 * time.Second} {
			t.Run(fmt.Sprint(name, " ", overloadFrom), func(t *testing.T) {
				eachSize(t, func(t *testing.T, f *fleet, rate, mean float64) {
					for now := time.Duration(0); now < 30*time.Second; now += time.Second {
						f.partition(now, cut)
						demand := normalLoad
						if now >= overloadFrom {
							demand *= 6
						}
						f.run(now, now+time.Second, demand*rate, mean)
					}
					wantWithinLimit(t, f.maxWindowUsage(f.limit, 0))
				})
			})
		}
	}
}

// partition separates routers from 12 s to 22 s. The fleet notices the start 3 s later.
func (f *fleet) partition(now time.Duration, cut func(i int) bool) {
	switch now {
	case 12 * time.Second:
		for i := range f.side {
			if cut(i) {
				f.side[i] = 1
			}
		}
	case 15 * time.Second:
		f.updateViews(now)
	case 22 * time.Second:
		clear(f.side)
		f.updateViews(now)
	}
}

// TestLowerLimitBindsAfterOneWindow lowers a limit far below the cost that is requested.
func TestLowerLimitBindsAfterOneWindow(t *testing.T) {
	eachSize(t, func(t *testing.T, f *fleet, rate, mean float64) {
		f.run(0, 12*time.Second, normalLoad*rate, mean)
		lower := quota.Limit{Rate: rate / 4, Burst: rate / 4}
		f.setLimit(12*time.Second, lower)
		f.run(12*time.Second, 40*time.Second, normalLoad*rate, mean)
		wantWithinLimit(t, f.maxWindowUsage(lower, 12*time.Second+f.rule.Window))
	})
}

// TestSharesOfDeadRoutersAreTakenOver kills a third of the routers of each zone. Others take over their shares.
func TestSharesOfDeadRoutersAreTakenOver(t *testing.T) {
	eachSize(t, func(t *testing.T, f *fleet, rate, mean float64) {
		f.run(0, 12*time.Second, normalLoad*rate, mean)
		for i := range f.dead {
			f.dead[i] = i/zones%3 == 1
		}
		f.run(12*time.Second, 14*time.Second, normalLoad*rate, mean)
		f.updateViews(14 * time.Second)
		f.run(14*time.Second, 14*time.Second+takeover, normalLoad*rate, mean)
		f.demanded, f.refused = 0, 0
		f.run(14*time.Second+takeover, 40*time.Second, normalLoad*rate, mean)
		wantFewRefused(t, f)
		wantWithinLimit(t, f.maxWindowUsage(f.limit, 0))
	})
}

// TestOtherZonesServeAfterAZoneDies kills all routers of a zone. The requests of the other zones' routers must still be
// granted.
func TestOtherZonesServeAfterAZoneDies(t *testing.T) {
	eachSize(t, func(t *testing.T, f *fleet, rate, mean float64) {
		f.run(0, 12*time.Second, normalLoad*rate, mean)
		for i := range f.dead {
			f.dead[i] = i%zones == 0
		}
		f.updateViews(14 * time.Second)
		f.run(12*time.Second, 24*time.Second, normalLoad*rate, mean)
		f.demanded, f.refused = 0, 0
		f.run(24*time.Second, 40*time.Second, normalLoad*rate, mean)
		wantFewRefused(t, f)
		wantWithinLimit(t, f.maxWindowUsage(f.limit, 0))
	})
}

// TestLateMessagesDoNotRaiseTheLimit lets a tenant go from no requests to many times its limit while messages between
// nodes are late.
func TestLateMessagesDoNotRaiseTheLimit(t *testing.T) {
	for name, delay := range map[string][2]time.Duration{
		"somewhat": {20 * time.Millisecond, 300 * time.Millisecond}, "very": {300 * time.Millisecond, 1100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			eachSize(t, func(t *testing.T, f *fleet, rate, mean float64) {
				f.minDelay, f.delayRange = delay[0], delay[1]
				f.run(0, 10*time.Second, 0, mean)
				f.run(10*time.Second, 30*time.Second, 7.5*normalLoad*rate, mean)
				wantWithinLimit(t, f.maxWindowUsage(f.limit, 0))
			})
		})
	}
}

// TestRestartsInSeriesDoNotRaiseTheLimit restarts one router after the other under the same name while a tenant requests
// twice its limit.
func TestRestartsInSeriesDoNotRaiseTheLimit(t *testing.T) {
	const restartInterval = 150 * time.Millisecond
	eachSize(t, func(t *testing.T, f *fleet, rate, mean float64) {
		f.run(0, 12*time.Second, 2*rate, mean)
		for i, now := 0, 12*time.Second; now < 30*time.Second; i, now = i+1, now+restartInterval {
			f.restart(now, i%len(f.nodes))
			f.run(now, now+restartInterval, 2*rate, mean)
		}
		wantWithinLimit(t, f.maxWindowUsage(f.limit, 0))
	})
}

// TestChangesOfOwnerDoNotRaiseTheLimit makes nodes disagree about which nodes are alive. Each node's view is replaced by
// another one within the takeover time.
func TestChangesOfOwnerDoNotRaiseTheLimit(t *testing.T) {
	const changeInterval = 20 * time.Millisecond
	eachSize(t, func(t *testing.T, f *fleet, rate, mean float64) {
		f.run(0, 12*time.Second, normalLoad*rate, mean)
		for i, now := 0, 12*time.Second; now < 40*time.Second; now += changeInterval {
			i = (i + 1) % len(f.nodes)
			f.disagree(now, i)
			f.run(now, now+changeInterval, 4*rate, mean)
		}
		wantWithinLimit(t, f.maxWindowUsage(f.limit, 0))
	})
}

// disagree makes node i consider some live nodes dead.
func (f *fleet) disagree(now time.Duration, i int) {
	f.updateView(now, i)
	f.nodes[i].sees = f.withoutSome(i)
	f.nodes[i].owner.KeepOwned(now+takeover, func(string) bool { return f.ownerOf(i, i%zones) == i })
}

// withoutSome returns the nodes that node i sees, without a random tenth of them.
func (f *fleet) withoutSome(i int) []int {
	var left []int
	for _, j := range f.nodes[i].sees {
		if j == i || f.rng.IntN(10) > 0 {
			left = append(left, j)
		}
	}
	return left
}
