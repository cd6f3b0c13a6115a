package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/proxy"
)

// narrow connects with a small window.
func narrow(t *testing.T, addr string) *user {
	t.Helper()
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 2048) })
	}}
	c, err := d.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &user{TCPConn: c.(*net.TCPConn)}
}

const manyBytes = 16 << 20

// endless gives a replica that says more than any socket takes.
func endless(t *testing.T) *replica {
	return newReplica(t, say("200 OK", "", strings.Repeat("x", manyBytes)))
}

func TestClientThatDoesNotReadIsDisconnected(t *testing.T) {
	set := proxy.Defaults()
	set.StallTimeout = 150 * time.Millisecond
	m := newStubRouter(unknown, endless(t).place(unsafe))
	p, addr := front(t, m, set, config.Limits{})
	u := narrow(t, addr)
	u.ask(t, "GET", "id1", "", "")
	for end := time.Now().Add(testTimeout); p.Counters.Hangups.Load() == 0; runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatal("the stuck client is waited for")
		}
	}
	waitIdle(t, p)
	want(t, "held", p.Reserved(), 0)
}

// TestSlowReaderIsNotDisconnected reads at a tenth of the stall time's pace for many stall times.
func TestSlowReaderIsNotDisconnected(t *testing.T) {
	set := proxy.Defaults()
	set.StallTimeout = 200 * time.Millisecond
	m := newStubRouter(unknown, endless(t).place(unsafe))
	p, addr := front(t, m, set, config.Limits{})
	u := narrow(t, addr)
	u.ask(t, "GET", "id1", "", "")
	tick := time.NewTicker(set.StallTimeout / 10)
	defer tick.Stop()
	for range 100 {
		<-tick.C
		if _, err := io.ReadFull(u, make([]byte, 1024)); err != nil {
			t.Fatal(err)
		}
	}
	want(t, "cut", p.Counters.Hangups.Load(), 0)
}

// TestStalledWritesKeepTheirOrder lets writes to a client time out in the middle of events, again and again: each byte comes once.
func TestStalledWritesKeepTheirOrder(t *testing.T) {
	set := proxy.Defaults()
	set.StallTimeout = 40 * time.Millisecond
	var all []string
	for id := range 400 {
		all = append(all, fmt.Sprintf("id: %d\ndata: %s\n\n", id+1, strings.Repeat(fmt.Sprint(id%10), 10000)))
	}
	p, addr := front(t, newStubRouter(partial, newReplica(t, stream(true, all...)).place(streams)), set, config.Limits{})
	u := narrow(t, addr)
	u.ask(t, "GET", "id1", "X-Wait-Ms: 60000\r\n", "")
	tick := time.NewTicker(set.StallTimeout * 5 / 4)
	defer tick.Stop()
	var text strings.Builder
	for range 25 {
		<-tick.C
		if _, err := io.CopyN(&text, u, 8<<10); err != nil {
			t.Fatal(err)
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader(text.String()), u)), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	want(t, "error", err, error(nil))
	if string(body) != strings.Join(all, "") {
		t.Errorf("%d bytes of %d, or others", len(body), len(strings.Join(all, "")))
	}
	waitIdle(t, p)
}

// TestSlowReaderEndsWithItsRequest: a replica's place is not held for longer than the request lives.
func TestSlowReaderEndsWithItsRequest(t *testing.T) {
	set := proxy.Defaults()
	set.StallTimeout, set.MaxBufferedResponseBytes = 300*time.Millisecond, 4<<20
	m := newStubRouter(unknown, endless(t).place(&config.Route{Timeout: 2 * time.Second}))
	p, addr := front(t, m, set, config.Limits{})
	u := narrow(t, addr)
	u.ask(t, "GET", "id1", "", "")
	tick := time.NewTicker(set.StallTimeout / 30)
	defer tick.Stop()
	for taken := 0; p.Counters.Hangups.Load()+p.Counters.Aborted.Load() == 0; <-tick.C {
		n, err := u.Read(make([]byte, 2048))
		if taken += n; err != nil || taken > 1<<20 {
			t.Fatal("the replica is still held", taken, err)
		}
	}
	waitIdle(t, p)
}

func TestUploadsThatStop(t *testing.T) {
	for _, c := range []struct{ name, head, part string }{
		{"sized", "Content-Length: 10\r\n", "half"},
		{"chunked", "Transfer-Encoding: chunked\r\n", "4\r\nhalf\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newStubRouter(deny)
			p, addr := front(t, m, proxy.Defaults(), config.Limits{Header: 100 * time.Millisecond})
			u := dial(t, addr)
			u.say(t, "POST /a HTTP/1.1\r\nHost: h\r\nX-Attempt: id1\r\n"+c.head+"\r\n"+c.part)
			r := u.answer(t, "POST")
			want(t, "answer", fmt.Sprint(r.status, r.header.Get("Connection")), "408close")
			waitIdle(t, p)
			want(t, "arrivals and held", int64(len(m.arrived))+p.Reserved(), 0)
		})
	}
}

// TestSlowUploadIsBounded: some bytes in time are not enough for ever.
func TestSlowUploadIsBounded(t *testing.T) {
	set := proxy.Defaults()
	set.UploadTimeout = 300 * time.Millisecond
	p, addr := front(t, newStubRouter(deny), set, config.Limits{Header: 200 * time.Millisecond})
	u := dial(t, addr)
	u.say(t, "POST /a HTTP/1.1\r\nHost: h\r\nX-Attempt: id1\r\nContent-Length: 100000\r\n\r\n")
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for sent := 0; p.Counters.Bad.Load() == 0; sent++ {
		<-tick.C
		if _, err := io.WriteString(u, "x"); err != nil || sent == 200 {
			t.Fatal("sent", sent, err)
		}
	}
	want(t, "status", u.answer(t, "POST").status, 408)
}

func TestBudget(t *testing.T) {
	h := newHand(t)
	set := proxy.Defaults()
	set.BudgetBytes = 100 << 10
	m := newStubRouter(deny, h.place(unsafe))
	p, addr := front(t, m, set, config.Limits{})
	first := dial(t, addr)
	first.ask(t, "POST", "id1", "", strings.Repeat("x", 80<<10))
	u := h.accept(t)
	g := u.request(t)
	<-m.arrived
	for _, extra := range []string{"Content-Length: 20000\r\n", "Transfer-Encoding: chunked\r\n"} {
		second := dial(t, addr)
		second.say(t, "POST /a HTTP/1.1\r\nHost: h\r\nX-Attempt: id2\r\n"+extra+"\r\n")
		if strings.HasPrefix(extra, "T") {
			second.say(t, "4e20\r\n"+strings.Repeat("y", 20000)+"\r\n")
		}
		r := second.answer(t, "POST")
		want(t, "second", fmt.Sprint(r.status, r.header.Get("Retry-After")), "5030.25")
	}
	want(t, "arrivals", len(m.arrived), 0)
	want(t, "full", p.Counters.Full.Load(), 2)
	u.reply(t, g, "200 OK", "", "done")
	want(t, "first", first.answer(t, "POST").body, "done")
	first.ask(t, "POST", "id3", "", strings.Repeat("x", 80<<10))
	u = &up{TCPConn: u.TCPConn, in: u.in}
	u.reply(t, u.request(t), "200 OK", "", strings.Repeat("z", 200<<10))
	want(t, "long answer", len(first.answer(t, "POST").body), 200<<10)
	waitIdle(t, p)
	want(t, "held", p.Reserved(), 0)
}

// TestReplicaThatDoesNotReadOn has small windows, and reads only once TCP_USER_TIMEOUT alone has ended the other, equal request.
func TestReplicaThatDoesNotReadOn(t *testing.T) {
	var users []*user
	var hands []*hand
	for _, window := range []int{proxy.Defaults().ReceiveWindow, 1 << 30} {
		h := newHand(t)
		raw, err := h.lis.SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4096) })
		set := proxy.Defaults()
		set.UserTimeout, set.ReceiveWindow = 300*time.Millisecond, window
		_, addr := front(t, newStubRouter(deny, h.place(unsafe)), set, config.Limits{})
		c := dial(t, addr)
		c.ask(t, "POST", "id1", "X-Wait-Ms: 30000\r\n", strings.Repeat("x", 30000))
		users, hands = append(users, c), append(hands, h)
	}
	patient, hasty := hands[0].accept(t), hands[1].accept(t)
	want(t, "hasty", users[1].answer(t, "POST").status, 502)
	hasty.reset()
	patient.reply(t, patient.request(t), "200 OK", "", "late")
	want(t, "patient", users[0].answer(t, "POST").body, "late")
}
