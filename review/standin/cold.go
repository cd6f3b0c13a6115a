package main

import (
	"sort"
	"time"
)

// A cold replica: how long it stays so, and after which part of that it becomes cold again.
const (
	coldFor   = 3 * time.Second
	coldAgain = 1200 * time.Millisecond
)

// mostInASecond is warmupPerS x warmupOverage + warmupSlack.
const mostInASecond = 20*1.5 + 5

// playCold starts a replica during traffic, which becomes cold again before it was warm. Rule FAILBACK: no more than mostInASecond requests
// reach it within a second while it is cold.
func playCold(w *world) (bool, error) {
	for i := range 2 {
		if _, err := w.platform.add("huvo11a", zones[i], manner{work: 30 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	plain := route{Name: "r-wrr6x73", Hostname: host, PathPrefix: "/plain/", RouteType: "safe", TimeoutMs: 1500, TargetLatencyMs: 300, Priority: 2, TargetService: "huvo11a", MaxAttempts: 2}
	if err := w.begin(configuration(1, 16384, coldFor.Seconds(), plain)); err != nil {
		return false, err
	}
	usual := w.startTraffic("/plain/", 6, 110*time.Millisecond)
	time.Sleep(4 * time.Second)
	fresh, err := w.platform.add("huvo11a", zones[2], manner{work: 30 * time.Millisecond})
	if err != nil {
		return false, err
	}
	began := time.Now()
	until := began.Add(coldFor)
	fresh.cold.Store(until.UnixMilli())
	w.record.say("%s is cold for %s", fresh.instance, coldFor)
	time.Sleep(coldAgain)
	if w.trouble {
		until = time.Now().Add(coldFor)
		fresh.cold.Store(until.UnixMilli())
		w.record.say("%s becomes cold again for %s", fresh.instance, coldFor)
	}
	time.Sleep(time.Until(until) + 2*time.Second)
	outcomes := usual.stop()
	var cold []time.Time
	for _, one := range fresh.all() {
		if one.at.Before(until) {
			cold = append(cold, one.at)
		}
	}
	sort.Slice(cold, func(i, j int) bool { return cold[i].Before(cold[j]) })
	most, at := 0, time.Duration(0)
	for i, first := 0, 0; i < len(cold); i++ {
		for cold[i].Sub(cold[first]) >= time.Second {
			first++
		}
		if i-first+1 > most {
			most, at = i-first+1, cold[first].Sub(began)
		}
	}
	w.record.say("%d of %d requests were served; the most that reached %s within a second while it was cold: %d, from %.2f s on; the rule allows %d", served(outcomes), len(outcomes), fresh.instance, most, at.Seconds(), int(mostInASecond))
	return float64(most) > mostInASecond, nil
}
