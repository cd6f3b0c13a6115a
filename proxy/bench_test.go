package proxy_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"gopkg.in/tomb.v2"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/proxy"
	"github.com/mallowbridge/mallowbridge/router"
)

// singleReplicaRouter immediately places every request at the same replica.
type singleReplicaRouter struct {
	decision  router.Decision
	decisions chan map[string]chan router.Decision
}

func (stub *singleReplicaRouter) Submit(a router.Arrival) <-chan router.Decision {
	out := make(chan router.Decision, 4)
	all := <-stub.decisions
	all[a.Request] = out
	stub.decisions <- all
	out <- stub.decision
	return out
}

func (stub *singleReplicaRouter) Notify(ev router.Event) {
	all := <-stub.decisions
	switch e := ev.(type) {
	case router.ReadyToSend:
		all[e.Request] <- router.Decision{Verdict: router.Send, AttemptID: e.AttemptID}
	case router.AttemptEnded:
		delete(all, e.Request)
	}
	stub.decisions <- all
}

// startFixedResponseReplica starts a replica that sends the same response to all requests, except for their attempt IDs, which alternate
// between id1 and id2 on each connection. It allocates nothing while serving.
func startFixedResponseReplica(b *testing.B, response string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in, turn := bufio.NewReaderSize(c, 64<<10), [][]byte{[]byte(response), []byte(strings.Replace(response, "id1", "id2", 1))}
				for n := 0; ; n++ {
					for {
						text, err := in.ReadSlice('\n')
						if err != nil {
							return
						}
						if len(text) == 2 {
							break
						}
					}
					if _, err = in.Discard(bodyBytes); err != nil {
						return
					}
					if _, err = c.Write(turn[n%2]); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

const bodyBytes = 2000

func benchmark(b *testing.B, route *config.Route, response string, last string) {
	stub := &singleReplicaRouter{decisions: make(chan map[string]chan router.Decision, 1)}
	stub.decision = router.Decision{Verdict: router.Place, AttemptID: "g", Addr: startFixedResponseReplica(b, response), Replica: "r", Instance: "i1", Route: route}
	stub.decisions <- map[string]chan router.Decision{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	tb := &tomb.Tomb{}
	limits := func() config.Limits { return config.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20} }
	proxy.Serve(tb, listener, proxy.New(stub, testHeaders, proxy.Defaults(), limits, "b"), limits)
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	request := []byte("POST /a/b?c=d HTTP/1.1\r\nHost: h.example\r\nX-Attempt: id1\r\nX-Wait-Ms: 60000\r\nX-Model: m\r\nX-Tokens: 1460,80\r\n" +
		"X-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\nContent-Type: application/json\r\nAccept: */*\r\nUser-Agent: bench\r\n" +
		fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes) + strings.Repeat("x", bodyBytes))
	turn := [][]byte{request, bytes.Replace(request, []byte("id1"), []byte("id2"), 1)}
	in, end, n := bufio.NewReaderSize(c, 64<<10), []byte(last), 0
	b.ReportAllocs()
	for b.Loop() {
		n++
		if _, err = c.Write(turn[(n+1)%2]); err != nil {
			b.Fatal(err)
		}
		for {
			text, err := in.ReadSlice('\n')
			if err != nil {
				b.Fatal(err)
			}
			if bytes.Equal(text, end) {
				break
			}
		}
	}
	_ = c.Close()
	tb.Kill(nil)
	if err = tb.Wait(); err != nil && err != io.EOF {
		b.Fatal(err)
	}
}

const sealedResponseHead = "HTTP/1.1 200 OK\r\nX-Attempt: id1\r\nX-Seal: s1\r\nX-Load: 3,0,8\r\nContent-Type: application/json\r\nKeep-Alive: timeout=5\r\n"

// BenchmarkRequest measures a request with a short response over reused connections on both sides.
func BenchmarkRequest(b *testing.B) {
	body := strings.Repeat("y", 500) + "\n"
	benchmark(b, idempotentRoute, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", sealedResponseHead, len(body), body), body)
}

func BenchmarkNonIdempotent(b *testing.B) {
	body := strings.Repeat("y", 500) + "\n"
	benchmark(b, onceRoute, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", sealedResponseHead, len(body), body), body)
}

// BenchmarkStream measures a stream of 100 events that arrive in a few large reads.
func BenchmarkStream(b *testing.B) {
	response := strings.Replace(sealedResponseHead, "application/json", "text/event-stream", 1) + "Transfer-Encoding: chunked\r\n\r\n"
	for i := range 100 {
		e := fmt.Sprintf("id: %d\ndata: some words of text\n\n", i+1)
		response += fmt.Sprintf("%x\r\n%s\r\n", len(e), e)
	}
	benchmark(b, streamRoute, response+"0\r\n\r\n", "0\r\n")
}
