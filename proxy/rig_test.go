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

var testHeaders = proxy.Headers{
	AttemptID: "X-Attempt", TargetInstance: "X-Target", NotExecuted: "X-Not-Run", Load: "X-Load", Deadline: "X-Wait-Ms", Prefix: "X-Prefix",
	Model: "X-Model", Tokens: "X-Tokens", Seal: "X-Seal", Instance: "X-Instance", Priority: "X-Rank", Credential: "X-Key", Tenant: "X-Customer",
	WeightsVersion: "X-Weights", ExpectedVersion: "X-Expected-Weights",
	ParseLoad: func(v string) (router.ReplicaLoad, bool) {
		var l router.ReplicaLoad
		n, err := fmt.Sscanf(v, "%d,%d,%d", &l.Running, &l.Queued, &l.Slots)
		return l, n == 3 && err == nil
	},
}

// stubRouter places each request according to placements, one per attempt, and makes finalDecision when they are used up.
type stubRouter struct {
	placements    []router.Decision
	finalDecision router.Decision
	events        chan router.Event
	arrived       chan router.Arrival
	subscriptions chan map[string]*subscription
}

type subscription struct {
	decisions  chan router.Decision
	placements []router.Decision
	seq        int
}

func newStubRouter(finalDecision router.Decision, placements ...router.Decision) *stubRouter {
	stub := &stubRouter{
		placements: placements, finalDecision: finalDecision, events: make(chan router.Event, 1000), arrived: make(chan router.Arrival, 100),
		subscriptions: make(chan map[string]*subscription, 1),
	}
	stub.subscriptions <- map[string]*subscription{}
	return stub
}

func (stub *stubRouter) Submit(a router.Arrival) <-chan router.Decision {
	stub.arrived <- a
	s := &subscription{decisions: make(chan router.Decision, 64), placements: stub.placements}
	all := <-stub.subscriptions
	all[a.Request] = s
	stub.next(s)
	stub.subscriptions <- all
	return s.decisions
}

func (stub *stubRouter) next(s *subscription) {
	d := stub.finalDecision
	if len(s.placements) > 0 {
		d, s.placements = s.placements[0], s.placements[1:]
		s.seq++
		d.Verdict, d.AttemptID = router.Place, fmt.Sprint("go", s.seq)
	}
	s.decisions <- d
}

func (stub *stubRouter) Notify(ev router.Event) {
	stub.events <- ev
	all := <-stub.subscriptions
	defer func() { stub.subscriptions <- all }()
	switch e := ev.(type) {
	case router.ReadyToSend:
		all[e.Request].decisions <- router.Decision{Verdict: router.Send, AttemptID: e.AttemptID}
	case router.AttemptEnded:
		if e.Result != router.Completed {
			stub.next(all[e.Request])
		}
	}
}

// notified returns the type names of the events since the last call.
func (stub *stubRouter) notified() string {
	var all []string
	for {
		select {
		case ev := <-stub.events:
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

type receivedRequest struct {
	conn int
	raw  string
	req  *http.Request
	body string
}

// replica responds to the n-th request it receives with the n-th script. A script returns the bytes of the response and whether the
// connection ends after them.
type replica struct {
	addr     string
	requests chan receivedRequest
	accepted chan struct{}
}

type script func(r receivedRequest) (string, bool)

func newReplica(t *testing.T, scripts ...script) *replica {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	r := &replica{addr: listener.Addr().String(), requests: make(chan receivedRequest, 100), accepted: make(chan struct{}, 100)}
	remaining := make(chan []script, 1)
	remaining <- scripts
	go func() {
		for n := 1; ; n++ {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			r.accepted <- struct{}{}
			go r.serve(c, n, remaining)
		}
	}()
	return r
}

func (r *replica) serve(c net.Conn, n int, scripts chan []script) {
	defer c.Close()
	var raw bytes.Buffer
	in := bufio.NewReader(io.TeeReader(c, &raw))
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		request := receivedRequest{conn: n, raw: raw.String(), req: req, body: string(body)}
		raw.Reset()
		r.requests <- request
		remaining := <-scripts
		if len(remaining) == 0 {
			scripts <- remaining
			return
		}
		scripts <- remaining[1:]
		response, end := remaining[0](request)
		if _, err = io.WriteString(c, response); err != nil || end {
			return
		}
	}
}

func (r *replica) place(route *config.Route) router.Decision {
	return router.Decision{Addr: r.addr, Replica: r.addr, Instance: "i1", Route: route, Priority: route.Priority}
}

func respondWith(status, extra, body string) script {
	return func(request receivedRequest) (string, bool) {
		return fmt.Sprintf("HTTP/1.1 %s\r\nX-Attempt: %s\r\nX-Seal: s1\r\n%sContent-Length: %d\r\n\r\n%s",
			status, request.req.Header.Get("X-Attempt"), extra, len(body), body), false
	}
}

// stream responds with one chunk per event. A complete response ends with the last chunk, others with the connection.
func stream(complete bool, events ...string) script {
	return func(request receivedRequest) (string, bool) {
		response := "HTTP/1.1 200 OK\r\nX-Attempt: " + request.req.Header.Get("X-Attempt") +
			"\r\nX-Seal: s-" + events[0][:5] + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
		for _, e := range events {
			response += fmt.Sprintf("%x\r\n%s\r\n", len(e), e)
		}
		if complete {
			response += "0\r\n\r\n"
		}
		return response, !complete
	}
}

func startHTTPTest(t *testing.T, decider proxy.Router) (*proxy.Proxy, string) {
	p := proxy.New(decider, testHeaders, proxy.Defaults(), func() config.Limits { return config.Limits{BodyBytes: 1000} }, "b1")
	srv := httptest.NewServer(p)
	t.Cleanup(srv.Close)
	return p, srv.URL
}

func want(t *testing.T, what string, got, want any) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%s is %q, want %q", what, fmt.Sprint(got), fmt.Sprint(want))
	}
}

// waitIdle waits until no request is in flight: the last bytes of a response reach the client shortly before the proxy notices that they
// were sent.
func waitIdle(t *testing.T, p *proxy.Proxy) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); p.RequestsInFlight() > 0; runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("%d requests are still running", p.RequestsInFlight())
		}
	}
}
