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

// plain is a router that places every request at once on the same replica.
type plain struct {
	place router.Decision
	subs  chan map[string]chan router.Decision
}

func (m *plain) Submit(a router.Arrival) <-chan router.Decision {
	out := make(chan router.Decision, 4)
	all := <-m.subs
	all[a.Request] = out
	m.subs <- all
	out <- m.place
	return out
}

func (m *plain) Notify(ev router.Event) {
	all := <-m.subs
	switch e := ev.(type) {
	case router.ReadyToSend:
		all[e.Request] <- router.Decision{Verdict: router.Send, AttemptID: e.AttemptID}
	case router.AttemptEnded:
		delete(all, e.Request)
	}
	m.subs <- all
}

// echo answers the requests of a connection, which carry id1 and id2 by turns; it allocates nothing.
func echo(b *testing.B, answer string) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in, turn := bufio.NewReaderSize(c, 64<<10), [][]byte{[]byte(answer), []byte(strings.Replace(answer, "id1", "id2", 1))}
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
	return lis.Addr().String()
}

const bodyBytes = 2000

func benchmark(b *testing.B, route *config.Route, answer string, last string) {
	m := &plain{subs: make(chan map[string]chan router.Decision, 1)}
	m.place = router.Decision{Verdict: router.Place, AttemptID: "g", Addr: echo(b, answer), Replica: "r", Instance: "i1", Route: route}
	m.subs <- map[string]chan router.Decision{}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	tb := &tomb.Tomb{}
	limits := func() config.Limits { return config.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20} }
	proxy.Serve(tb, lis, proxy.New(m, names, proxy.Defaults(), limits, "b"), limits)
	c, err := net.Dial("tcp", lis.Addr().String())
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

const sealed = "HTTP/1.1 200 OK\r\nX-Attempt: id1\r\nX-Seal: s1\r\nX-Load: 3,0,8\r\nContent-Type: application/json\r\nKeep-Alive: timeout=5\r\n"

// BenchmarkRequest is one short answer over kept connections on both sides.
func BenchmarkRequest(b *testing.B) {
	body := strings.Repeat("y", 500) + "\n"
	benchmark(b, safe, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", sealed, len(body), body), body)
}

func BenchmarkNonRepeatable(b *testing.B) {
	body := strings.Repeat("y", 500) + "\n"
	benchmark(b, unsafe, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", sealed, len(body), body), body)
}

// BenchmarkStream is a stream of 100 events that arrive in one piece or a few.
func BenchmarkStream(b *testing.B) {
	answer := strings.Replace(sealed, "application/json", "text/event-stream", 1) + "Transfer-Encoding: chunked\r\n\r\n"
	for i := range 100 {
		e := fmt.Sprintf("id: %d\ndata: some words of text\n\n", i+1)
		answer += fmt.Sprintf("%x\r\n%s\r\n", len(e), e)
	}
	benchmark(b, streams, answer+"0\r\n\r\n", "0\r\n")
}
