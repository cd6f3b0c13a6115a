package proxy_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/proxy"
	"github.com/mallowbridge/mallowbridge/router"
)

var names = proxy.Headers{
	AttemptID: "X-Attempt", TargetInstance: "X-Target", NotExecuted: "X-Not-Run", Load: "X-Load", Deadline: "X-Wait-Ms", Prefix: "X-Prefix",
	Model: "X-Model", Tokens: "X-Tokens", Seal: "X-Seal", Instance: "X-Instance", Priority: "X-Rank", Credential: "X-Key", Tenant: "X-Customer",
	WeightsVersion: "X-Weights", ExpectedVersion: "X-Expected-Weights",
	ParseLoad: func(v string) (router.ReplicaLoad, bool) {
		var l router.ReplicaLoad
		n, err := fmt.Sscanf(v, "%d,%d,%d", &l.Running, &l.Queued, &l.Slots)
		return l, n == 3 && err == nil
	},
}

// stubRouter answers each request with the next places, and what is left when they are spent.
type stubRouter struct {
	places  []router.Decision
	last    router.Decision
	events  chan router.Event
	arrived chan router.Arrival
	subs    chan map[string]*sub
}

type sub struct {
	out    chan router.Decision
	places []router.Decision
	seq    int
}

func newStubRouter(last router.Decision, places ...router.Decision) *stubRouter {
	m := &stubRouter{
		places: places, last: last, events: make(chan router.Event, 1000), arrived: make(chan router.Arrival, 100),
		subs: make(chan map[string]*sub, 1),
	}
	m.subs <- map[string]*sub{}
	return m
}

func (m *stubRouter) Submit(a router.Arrival) <-chan router.Decision {
	m.arrived <- a
	s := &sub{out: make(chan router.Decision, 64), places: m.places}
	all := <-m.subs
	all[a.Request] = s
	m.next(s)
	m.subs <- all
	return s.out
}

func (m *stubRouter) next(s *sub) {
	d := m.last
	if len(s.places) > 0 {
		d, s.places = s.places[0], s.places[1:]
		s.seq++
		d.Verdict, d.AttemptID = router.Place, fmt.Sprint("go", s.seq)
	}
	s.out <- d
}

func (m *stubRouter) Notify(ev router.Event) {
	m.events <- ev
	all := <-m.subs
	defer func() { m.subs <- all }()
	switch e := ev.(type) {
	case router.ReadyToSend:
		all[e.Request].out <- router.Decision{Verdict: router.Send, AttemptID: e.AttemptID}
	case router.AttemptEnded:
		if e.Result != router.Completed {
			m.next(all[e.Request])
		}
	}
}

// notified gives the kinds of the events so far.
func (m *stubRouter) notified() string {
	var all []string
	for {
		select {
		case ev := <-m.events:
			kind := strings.TrimPrefix(fmt.Sprintf("%T", ev), "router.")
			if e, ok := ev.(router.AttemptEnded); ok {
				kind += "(" + string(e.Result) + ")"
			}
			all = append(all, kind)
		default:
			return strings.Join(all, " ")
		}
	}
}

type got struct {
	conn int
	raw  string
	req  *http.Request
	body string
}

// replica answers the n-th request it gets with the n-th script; a script gives bytes and whether the connection ends after them.
type replica struct {
	addr string
	got  chan got
	conn chan struct{}
}

type script func(r got) (string, bool)

func newReplica(t *testing.T, scripts ...script) *replica {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	r := &replica{addr: lis.Addr().String(), got: make(chan got, 100), conn: make(chan struct{}, 100)}
	left := make(chan []script, 1)
	left <- scripts
	go func() {
		for n := 1; ; n++ {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			r.conn <- struct{}{}
			go r.serve(c, n, left)
		}
	}()
	return r
}

func (r *replica) serve(c net.Conn, n int, left chan []script) {
	defer c.Close()
	var raw bytes.Buffer
	in := bufio.NewReader(io.TeeReader(c, &raw))
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		g := got{conn: n, raw: raw.String(), req: req, body: string(body)}
		raw.Reset()
		r.got <- g
		todo := <-left
		if len(todo) == 0 {
			left <- todo
			return
		}
		left <- todo[1:]
		answer, end := todo[0](g)
		if _, err = io.WriteString(c, answer); err != nil || end {
			return
		}
	}
}

func (r *replica) place(route *config.Route) router.Decision {
	return router.Decision{Addr: r.addr, Replica: r.addr, Instance: "i1", Route: route, Priority: route.Priority}
}

func say(status, extra, body string) script {
	return func(g got) (string, bool) {
		return fmt.Sprintf("HTTP/1.1 %s\r\nX-Attempt: %s\r\nX-Seal: s1\r\n%sContent-Length: %d\r\n\r\n%s",
			status, g.req.Header.Get("X-Attempt"), extra, len(body), body), false
	}
}

// stream answers with events in chunks; whole ones end with the last chunk, others with the connection.
func stream(complete bool, events ...string) script {
	return func(g got) (string, bool) {
		answer := "HTTP/1.1 200 OK\r\nX-Attempt: " + g.req.Header.Get("X-Attempt") +
			"\r\nX-Seal: s-" + events[0][:5] + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
		for _, e := range events {
			answer += fmt.Sprintf("%x\r\n%s\r\n", len(e), e)
		}
		if complete {
			answer += "0\r\n\r\n"
		}
		return answer, !complete
	}
}

func serve(t *testing.T, m proxy.Router) (*proxy.Proxy, string) {
	p := proxy.New(m, names, proxy.Defaults(), func() config.Limits { return config.Limits{BodyBytes: 1000} }, "b1")
	srv := httptest.NewServer(p)
	t.Cleanup(srv.Close)
	return p, srv.URL
}

func want(t *testing.T, what string, got, want any) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%s is %q, not %q", what, fmt.Sprint(got), fmt.Sprint(want))
	}
}

// waitIdle waits until nothing runs: the last bytes of an answer reach the client a little before the proxy knows that they left.
func waitIdle(t *testing.T, p *proxy.Proxy) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); p.RequestsInFlight() > 0; runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("%d requests are still running", p.RequestsInFlight())
		}
	}
}
