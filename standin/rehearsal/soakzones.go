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
	// maxEvacuation bounds how long a zone stays evacuated, maxEvacuationPause the time between two evacuations.
	maxEvacuation      = 12 * time.Second
	maxEvacuationPause = 2 * time.Second
	// The next evacuation draws its zone at random with probability 1/zoneChangeOdds; otherwise it evacuates the previous zone again.
	zoneChangeOdds = 3
	// callerTimeout is the time after which callers try another node.
	callerTimeout = time.Second
	// maxPartitionDelay bounds how much longer than callerTimeout a partition delays a request.
	maxPartitionDelay = 6 * time.Second
	// maxAbandonTimeout bounds the time after which a caller that abandons its request disconnects.
	maxAbandonTimeout = 100 * time.Millisecond
)

// zoneOperator evacuates one zone after another and cancels each evacuation again. Partitions delay some of its requests, which it repeats at other
// nodes meanwhile, and it abandons some requests by disconnecting early.
type zoneOperator struct {
	controls []string
	rng      *rand.Rand
	// delayed waits for the requests that a partition delays.
	delayed sync.WaitGroup
	// evacuations contains the periods of evacuation by zone. The last period of a zone may not have ended.
	evacuations map[string][]ledger.Span
	// The numbers of acknowledged, delayed and abandoned requests.
	acknowledgedCount, delayedCount, abandonedCount int
}

// run evacuates zones until the end, and then waits for the delayed requests.
func (z *zoneOperator) run(end time.Time) {
	defer z.delayed.Wait()
	zone := zoneOf(0)
	for time.Now().Before(end) {
		if z.rng.IntN(zoneChangeOdds) == 0 {
			zone = zoneOf(z.rng.IntN(zoneCount))
		}
		if !z.submit(http.MethodPost, zone, end) {
			return
		}
		z.evacuations[zone] = append(z.evacuations[zone], ledger.Span{FromMs: time.Now().UnixMilli(), UntilMs: math.MaxInt64})
		z.sleepUpTo(maxEvacuation, end)
		if !time.Now().Before(end) {
			return
		}
		z.evacuations[zone][len(z.evacuations[zone])-1].UntilMs = time.Now().UnixMilli()
		if !z.submit(http.MethodDelete, zone, end) {
			return
		}
		z.sleepUpTo(maxEvacuationPause, end)
	}
}

// sleepUpTo sleeps for a random time below longest, and not beyond the end.
func (z *zoneOperator) sleepUpTo(longest time.Duration, end time.Time) {
	time.Sleep(min(time.Duration(z.rng.Int64N(int64(longest))), time.Until(end)))
}

// randomControl returns the control address of a random node.
func (z *zoneOperator) randomControl() string { return z.controls[z.rng.IntN(len(z.controls))] }

// submit sends a request until a node acknowledges it, and returns false if the end comes first. Before that, it may send the same request with a
// delay or abandon it.
func (z *zoneOperator) submit(method, zone string, end time.Time) bool {
	switch z.rng.IntN(3) {
	case 0:
		z.delayedCount++
		z.submitDelayed(method, zone)
	case 1:
		z.abandonedCount++
		sendZoneRequest(z.randomControl(), method, zone, time.Duration(z.rng.Int64N(int64(maxAbandonTimeout))))
	}
	for time.Now().Before(end) {
		if sendZoneRequest(z.randomControl(), method, zone, callerTimeout) {
			z.acknowledgedCount++
			return true
		}
		time.Sleep(time.Duration(z.rng.Int64N(int64(maxRetryPause))))
	}
	return false
}

// sendZoneRequest sends an evacuation (POST) or its cancellation (DELETE) and reports whether the node acknowledged it within the timeout.
func sendZoneRequest(control, method, zone string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
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

// submitDelayed sends a request through a simulated partition: the caller gives up after callerTimeout, but the node receives the request, and then
// the close of the connection, only when the partition heals.
func (z *zoneOperator) submitDelayed(method, zone string) {
	control, delay := z.randomControl(), callerTimeout+time.Duration(z.rng.Int64N(int64(maxPartitionDelay)))
	conn, err := net.DialTimeout("tcp", control, callerTimeout)
	if err != nil {
		return
	}
	z.delayed.Go(func() {
		time.Sleep(delay)
		_, _ = fmt.Fprintf(conn, "%s /evacuations/%s HTTP/1.1\r\nHost: %s\r\n\r\n", method, zone, control)
		_ = conn.Close()
	})
	time.Sleep(callerTimeout)
}
