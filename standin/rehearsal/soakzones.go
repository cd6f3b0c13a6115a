package rehearsal

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/mallowbridge/mallowbridge/ledger"
)

const (
	// longestEvacuation and longestRest bound how long a zone stays evacuated, and how long none is.
	longestEvacuation = 12 * time.Second
	longestRest       = 2 * time.Second
	// sameZoneOdds has the same zone evacuated again in all but one of so many times.
	sameZoneOdds = 3
	// callerPatience is after which time callers go on to another node.
	callerPatience = time.Second
	// longestHold bounds how long a partition holds an order up.
	longestHold = 6 * time.Second
	// hastyPatience bounds how long a caller stays that leaves early.
	hastyPatience = 100 * time.Millisecond
)

// zoneOperator evacuates one zone after the other and takes that back. Some of its orders are held up by partitions while it goes on
// elsewhere, and from some calls it leaves early.
type zoneOperator struct {
	controls []string
	rng      *rand.Rand
	// late are the orders that are held up.
	late sync.WaitGroup
	// evacuations are by zone; the last one may not have ended.
	evacuations map[string][]ledger.Span
	// acknowledged, held and hasty count orders.
	acknowledged, held, hasty int
}

func (z *zoneOperator) run(end time.Time) {
	defer z.late.Wait()
	zone := zoneOf(0)
	for time.Now().Before(end) {
		if z.rng.IntN(sameZoneOdds) == 0 {
			zone = zoneOf(z.rng.IntN(zoneCount))
		}
		if !z.order(http.MethodPost, zone, end) {
			return
		}
		z.evacuations[zone] = append(z.evacuations[zone], ledger.Span{FromMs: time.Now().UnixMilli(), UntilMs: math.MaxInt64})
		z.rest(longestEvacuation, end)
		if !time.Now().Before(end) {
			return
		}
		z.evacuations[zone][len(z.evacuations[zone])-1].UntilMs = time.Now().UnixMilli()
		if !z.order(http.MethodDelete, zone, end) {
			return
		}
		z.rest(longestRest, end)
	}
}

func (z *zoneOperator) rest(longest time.Duration, end time.Time) {
	time.Sleep(min(time.Duration(z.rng.Int64N(int64(longest))), time.Until(end)))
}

func (z *zoneOperator) control() string { return z.controls[z.rng.IntN(len(z.controls))] }

// order sends an order until a node takes it, or until the end.
func (z *zoneOperator) order(method, zone string, end time.Time) bool {
	switch z.rng.IntN(3) {
	case 0:
		z.held++
		z.hold(method, zone)
	case 1:
		z.hasty++
		callZone(z.control(), method, zone, time.Duration(z.rng.Int64N(int64(hastyPatience))))
	}
	for time.Now().Before(end) {
		if callZone(z.control(), method, zone, callerPatience) {
			z.acknowledged++
			return true
		}
		time.Sleep(time.Duration(z.rng.Int64N(int64(putPause))))
	}
	return false
}

// callZone tells whether a node took an order in time.
func callZone(control, method, zone string, patience time.Duration) bool {
	ctx, leave := context.WithTimeout(context.Background(), patience)
	defer leave()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+control+"/evacuations/"+zone, http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

// hold sends an order through a partition: the caller waits for a second and closes its connection; the bytes, and the end behind them, arrive
// when the partition heals.
func (z *zoneOperator) hold(method, zone string) {
	control, held := z.control(), callerPatience+time.Duration(z.rng.Int64N(int64(longestHold)))
	conn, err := net.DialTimeout("tcp", control, callerPatience)
	if err != nil {
		return
	}
	z.late.Go(func() {
		time.Sleep(held)
		_, _ = fmt.Fprintf(conn, "%s /evacuations/%s HTTP/1.1\r\nHost: %s\r\n\r\n", method, zone, control)
		_ = conn.Close()
	})
	time.Sleep(callerPatience)
}
