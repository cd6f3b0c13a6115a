package proxy_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/proxy"
)

func TestShutdownScheduleAdmitsRequestsThatEndInTime(t *testing.T) {
	for _, c := range []struct {
		name                      string
		grace, elapsed, remaining time.Duration
		admitted                  bool
	}{
		{"at once, short", 8 * time.Second, 0, 3 * time.Second, true},
		{"at once, as long as the rest of the period", 8 * time.Second, 0, 7200 * time.Millisecond, true},
		{"at once, longer", 8 * time.Second, 0, 7201 * time.Millisecond, false},
		{"no deadline", 8 * time.Second, 0, 0, false},
		{"late in admission", 8 * time.Second, 1999 * time.Millisecond, time.Second, true},
		{"after admission", 8 * time.Second, 2 * time.Second, time.Millisecond, false},
		{"long grace period", time.Hour, 2 * time.Second, time.Second, false},
		{"short grace period, as long as the rest of it", 2 * time.Second, 800 * time.Millisecond, time.Second, true},
		{"short grace period, longer", 2 * time.Second, 801 * time.Millisecond, time.Second, false},
		{"no grace period", 0, 0, time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := (proxy.ShutdownSchedule{Grace: c.grace}).Admits(c.elapsed, c.remaining); got != c.admitted {
				t.Errorf("admitted: %v, want %v", got, c.admitted)
			}
		})
	}
}

// TestShutdownRejectsRequestsThatMightNotFinish sends requests that might outlast the grace period, and requests late in it. Each is
// rejected at once, and none reaches the router.
func TestShutdownRejectsRequestsThatMightNotFinish(t *testing.T) {
	for _, c := range []struct {
		name   string
		grace  time.Duration
		method string
		extra  string
		body   string
	}{
		{"no deadline", time.Minute, "GET", "", ""},
		{"deadline beyond the grace period", 5 * time.Second, "GET", "X-Wait-Ms: 15000\r\n", ""},
		{"after admission ended", 0, "GET", "X-Wait-Ms: 100\r\n", ""},
		{"unread body", 0, "POST", "X-Wait-Ms: 100\r\n", "body"},
	} {
		t.Run(c.name, func(t *testing.T) {
			replica := newReplica(t, respondWith("200 OK", "", "one"))
			stub := newStubRouter(rejectDecision, replica.place(streamRoute))
			p, addr := startWithListener(t, stub, settingsWithLinger(time.Hour), config.Limits{})
			client := dial(t, addr)
			p.Shutdown(c.grace)
			client.sendRequest(t, c.method, "id1", c.extra, c.body)
			r := client.readResponse(t, c.method)
			want(t, "response", fmt.Sprint(r.status, r.header["Connection"], r.header["Retry-After"]), "503 [close] [0.01]")
			client.waitForClose(t)
			waitIdle(t, p)
			want(t, "arrivals", len(stub.arrived), 0)
			want(t, "counted", p.Counters.ShuttingDown.Load(), 1)
		})
	}
}

// TestShutdownFinishesAdmittedRequests sends a request early in the grace period; it is admitted and answered.
func TestShutdownFinishesAdmittedRequests(t *testing.T) {
	replica := newReplica(t, respondWith("200 OK", "", "one"))
	p, addr := startWithListener(t, newStubRouter(rejectDecision, replica.place(streamRoute)), settingsWithLinger(time.Hour), config.Limits{})
	client := dial(t, addr)
	p.Shutdown(time.Minute)
	client.sendRequest(t, "GET", "id1", "X-Wait-Ms: 30000\r\n", "")
	r := client.readResponse(t, "GET")
	want(t, "response", fmt.Sprint(r.status, " ", r.body, r.header["Connection"]), "200 one[close]")
	waitIdle(t, p)
}

// TestBodyCompletedDuringShutdownIsForwardedOnlyIfItEndsInTime guards against lost responses: if the head of a request arrives before
// SIGTERM and the rest of its body after it, the request must not be forwarded regardless of its deadline, or it is cut off when the
// process exits.
func TestBodyCompletedDuringShutdownIsForwardedOnlyIfItEndsInTime(t *testing.T) {
	for _, c := range []struct {
		name, wait, response string
		grace                time.Duration
		arrivals             int
	}{
		{"deadline beyond the grace period", "15000", "503 [close]", 5 * time.Second, 0},
		{"after admission ended", "1000", "503 [close]", 0, 0},
		{"ends in time", "1000", "200 [close]", time.Minute, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			replica := newReplica(t, respondWith("200 OK", "", "one"))
			stub := newStubRouter(rejectDecision, replica.place(onceRoute))
			p, addr := startWithListener(t, stub, settingsWithLinger(time.Hour), config.Limits{})
			client := dial(t, addr)
			client.write(t, "POST /a HTTP/1.1\r\nHost: h.example\r\nX-Attempt: id1\r\nX-Wait-Ms: "+c.wait+"\r\nContent-Length: 4\r\n\r\nbo")
			for end := time.Now().Add(10 * time.Second); p.RequestsInFlight() == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
			}
			p.Shutdown(c.grace)
			client.write(t, "dy")
			r := client.readResponse(t, "POST")
			want(t, "response", fmt.Sprint(r.status, " ", r.header["Connection"]), c.response)
			waitIdle(t, p)
			want(t, "arrivals", len(stub.arrived), c.arrivals)
		})
	}
}
