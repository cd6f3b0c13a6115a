package proxy_test

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/mallowbridge/mallowbridge/config"
)

// piece is something that a replica does on a connection while the second of two requests is due.
type piece struct {
	name string
	// bytes are what it says; ends tells that the connection is closed after it, resets that it is reset.
	bytes        string
	ends, resets bool
	// own tells that the bytes are the second request's answer, refuses that they prove that it did not run.
	own, refuses bool
}

func pieces() []piece {
	first, second := got{req: idRequest("id1")}, got{req: idRequest("id2")}
	overdue, _ := say("200 OK", "", "late")(first)
	lateRefusal, _ := say("503 Full", "X-Not-Run: 1\r\n", "")(first)
	answer, _ := say("200 OK", "", "two")(second)
	refusal, _ := say("503 Full", "X-Not-Run: 1\r\n", "")(second)
	unproved, _ := say("503 Full", "", "")(second)
	return []piece{
		{name: "late answer", bytes: overdue}, {name: "late refusal", bytes: lateRefusal}, {name: "early hint", bytes: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{name: "junk", bytes: "junk\r\n\r\n"}, {name: "part", bytes: answer[:len(answer)-1], ends: true}, {name: "close", ends: true}, {name: "reset", resets: true},
		{name: "answer", bytes: answer, own: true}, {name: "refusal", bytes: refusal, own: true, refuses: true}, {name: "503 without proof", bytes: unproved},
	}
}

// orders gives every order of up to most pieces; none follows the end of the connection.
func orders(most int) [][]piece {
	all := [][]piece{nil}
	for from := 0; most > 0; most-- {
		until := len(all)
		for ; from < until; from++ {
			o := all[from]
			if n := len(o); n > 0 && (o[n-1].ends || o[n-1].resets) {
				continue
			}
			for _, p := range pieces() {
				all = append(all, append(o[:len(o):len(o)], p))
			}
		}
	}
	return all
}

func (u *up) play(order []piece) {
	for _, p := range order {
		_, _ = u.Write([]byte(p.bytes))
		switch {
		case p.resets:
			u.reset()
		case p.ends:
			_ = u.Close()
		}
	}
}

func nameOf(order []piece) string {
	var all []string
	for _, p := range order {
		all = append(all, p.name)
	}
	return strings.Join(all, ", ")
}

// TestEveryOrderOnAKeptConnection keeps a connection after one request and has the replica do anything, in any order, before and after the
// second request is written on it. The second client gets its own answer or none; it is denied only with proof; and a request that may not
// be repeated is read at most once.
func TestEveryOrderOnAKeptConnection(t *testing.T) {
	n := 0
	for name, route := range map[string]*config.Route{"once": unsafe, "repeatable": safe} {
		for _, before := range orders(1) {
			for _, later := range orders(2) {
				onKept(t, name+"; before: "+nameOf(before)+"; then: "+nameOf(later), route, before, later)
				n++
				if t.Failed() {
					return
				}
			}
		}
	}
	t.Logf("%d orders", n)
}

func onKept(t *testing.T, name string, route *config.Route, before, later []piece) {
	h := newHand(t)
	defer h.lis.Close()
	p, addr := usual(t, newStubRouter(deny, h.place(route), h.place(route)))
	u := dial(t, addr)
	defer u.Close()
	u.ask(t, "GET", "id1", "", "")
	r := h.accept(t)
	r.reply(t, r.request(t), "200 OK", "", "one")
	want(t, name+": first", u.answer(t, "GET").body, "one")
	r.play(before)
	reads, proved, answers := make(chan struct{}, 9), make(chan bool, 9), make(chan bool, 9)
	go serveOrder(r, later, reads, proved, answers)
	go func() {
		for {
			c, err := h.lis.AcceptTCP()
			if err != nil {
				return
			}
			go serveOrder(newUp(c), later, reads, proved, answers)
		}
	}()
	u.ask(t, "GET", "id2", "X-Wait-Ms: 2000\r\n", "")
	got := u.answer(t, "GET")
	waitIdle(t, p)
	switch ran := len(reads); {
	case route == unsafe && ran-len(proved) > 1:
		t.Errorf("%s: read %d times, refused %d times", name, ran, len(proved))
	case got.status == 200 && got.err == nil && (got.body != "two" || len(answers) == 0):
		t.Errorf("%s: got %q", name, got.body)
	case got.status == 503 && ran > len(proved):
		t.Errorf("%s: denied without proof", name)
	case got.status != 200 && got.status != 503 && got.status != 502 && got.status != 504:
		t.Errorf("%s: status %d, %v", name, got.status, got.err)
	}
}

// reads tells whether a request came.
func (u *up) reads() bool {
	_, err := http.ReadRequest(u.in)
	return err == nil
}

func newUp(c *net.TCPConn) *up { return &up{TCPConn: c, in: bufio.NewReader(c)} }

// serveOrder reads a request and does what the order says; silence is ended by a close.
func serveOrder(u *up, order []piece, reads chan<- struct{}, proved, answers chan<- bool) {
	defer u.Close()
	if !u.reads() {
		return
	}
	reads <- struct{}{}
	for _, p := range order {
		if p.refuses {
			proved <- true
		}
		if p.own && !p.refuses {
			answers <- true
		}
	}
	u.play(order)
}
