package proxy_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/proxy"
)

func TestShutdownScheduleAdmitsWhatEndsInTime(t *testing.T) {
	for _, c := range []struct {
		name                      string
		grace, elapsed, remaining time.Duration
		admitted                  bool
	}{
		{"at once, short", 8 * time.Second, 0, 3 * time.Second, true},
		{"at once, as long as there is time", 8 * time.Second, 0, 7200 * time.Millisecond, true},
		{"at once, longer", 8 * time.Second, 0, 7201 * time.Millisecond, false},
		{"no deadline", 8 * time.Second, 0, 0, false},
		{"late in admission", 8 * time.Second, 1999 * time.Millisecond, time.Second, true},
		{"after admission", 8 * time.Second, 2 * time.Second, time.Millisecond, false},
		{"long grace period", time.Hour, 2 * time.Second, time.Second, false},
		{"short grace period", 2 * time.Second, 499 * time.Millisecond, time.Second, true},
		{"short grace period, after admission", 2 * time.Second, 500 * time.Millisecond, time.Second, false},
		{"none", 0, 0, time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := (proxy.ShutdownSchedule{Grace: c.grace}).Admits(c.elapsed, c.remaining); got != c.admitted {
				t.Errorf("admitted: %v, want %v", got, c.admitted)
			}
		})
	}
}

// TestShutdownRejectsWhatItMightNotFinish sends requests that might outlast the grace period, and ones that come late in it. Each gets its final
// answer at once, and none reaches the router.
func TestShutdownRejectsWhatItMightNotFinish(t *testing.T) {
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
			replica := newReplica(t, say("200 OK", "", "one"))
			m := newStubRouter(deny, replica.place(streams))
			p, addr := front(t, m, lingering(time.Hour), config.Limits{})
			u := dial(t, addr)
			p.Shutdown(c.grace)
			u.ask(t, c.method, "id1", c.extra, c.body)
			r := u.answer(t, c.method)
			want(t, "answer", fmt.Sprint(r.status, r.header["Connection"], r.header["Retry-After"]), "503 [close] [0.01]")
			u.shutSoon(t)
			waitIdle(t, p)
			want(t, "arrivals", len(m.arrived), 0)
			want(t, "counted", p.Counters.ShuttingDown.Load(), 1)
		})
	}
}

// TestShutdownFinishesWhatItAdmitted admits a request early in the grace period and answers it.
func TestShutdownFinishesWhatItAdmitted(t *testing.T) {
	replica := newReplica(t, say("200 OK", "", "one"))
	p, addr := front(t, newStubRouter(deny, replica.place(streams)), lingering(time.Hour), config.Limits{})
	u := dial(t, addr)
	p.Shutdown(time.Minute)
	u.ask(t, "GET", "id1", "X-Wait-Ms: 30000\r\n", "")
	r := u.answer(t, "GET")
	want(t, "answer", fmt.Sprint(r.status, " ", r.body, r.header["Connection"]), "200 one[close]")
	waitIdle(t, p)
}

// TestBodyThatEndsDuringShutdownIsPassedOnOnlyIfThatEndsInTime guards against LOST: a request whose head came before SIGTERM and whose body ends
// after it is passed on, however long it may take, and cut when the process exits.
func TestBodyThatEndsDuringShutdownIsPassedOnOnlyIfThatEndsInTime(t *testing.T) {
	for _, c := range []struct {
		name, wait, answer string
		grace              time.Duration
		arrivals           int
	}{
		{"deadline beyond the grace period", "15000", "503 [close]", 5 * time.Second, 0},
		{"after admission ended", "1000", "503 [close]", 0, 0},
		{"ends in time", "1000", "200 [close]", time.Minute, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			replica := newReplica(t, say("200 OK", "", "one"))
			m := newStubRouter(deny, replica.place(unsafe))
			p, addr := front(t, m, lingering(time.Hour), config.Limits{})
			u := dial(t, addr)
			u.say(t, "POST /a HTTP/1.1\r\nHost: h.example\r\nX-Attempt: id1\r\nX-Wait-Ms: "+c.wait+"\r\nContent-Length: 4\r\n\r\nbo")
			for end := time.Now().Add(10 * time.Second); p.RequestsInFlight() == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
			}
			p.Shutdown(c.grace)
			u.say(t, "dy")
			r := u.answer(t, "POST")
			want(t, "answer", fmt.Sprint(r.status, " ", r.header["Connection"]), c.answer)
			waitIdle(t, p)
			want(t, "arrivals", len(m.arrived), c.arrivals)
		})
	}
}
