package proxy_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/proxy"
	"github.com/mallowbridge/mallowbridge/router"
)

// decodeInput returns a decision, a signal, or nil for the end of the decisions, encoded in three bytes.
func decodeInput(kind, a, b byte) any {
	id := string('a' + rune(a%2))
	route := []*config.Route{idempotentRoute, onceRoute, streamRoute}[b%3]
	switch kind % 16 {
	case 0, 1:
		return router.Decision{Verdict: router.Place, AttemptID: id, Route: route, Resumes: b&16 > 0, Instance: "i1"}
	case 2, 3:
		return router.Decision{Verdict: router.Send, AttemptID: id}
	case 4:
		return router.Decision{Verdict: router.CancelBeforeSend, AttemptID: id}
	case 5:
		return router.Decision{Verdict: router.Reject, Invalid: b&8 > 0, Duplicate: b&16 > 0}
	case 6:
		return router.Decision{Verdict: []router.Verdict{router.Unknown, router.Partial, router.Cancel, router.Done}[b%4], AttemptID: id}
	case 7, 8:
		return proxy.Connected{}
	case 9:
		return proxy.ConnectFailed{AtConnectionLimit: b&1 > 0}
	case 10, 11:
		status := []int{200, 200, 200, 204, 500, 503, 429, 421, 408}[int(a)%9]
		return proxy.ResponseHeadRead{Status: status, Mismatched: b&31 == 1, NotExecuted: b&7 == 2, CloseDelimited: b&31 == 3, Unsealed: b&31 == 4, Stream: b&32 > 0}
	case 12:
		return proxy.ResponseStarted{}
	case 13:
		return []proxy.Signal{proxy.ResponseEnded{}, proxy.ConnectionLost{}, proxy.ConnectionLost{}, proxy.Unwritten{}}[b%4]
	case 14:
		if a < 200 {
			return proxy.ConnectionLost{}
		}
		return []proxy.Signal{proxy.ClientDisconnected{}, proxy.DeadlinePassed{}, proxy.DeadlinePassed{Unwritten: true}}[b%3]
	}
	if a < 250 {
		return proxy.ResponseEnded{}
	}
	return nil
}

func runScript(t *testing.T, script []byte) {
	e, checker := proxy.Exchange{Request: "q"}, &invariantChecker{t: t}
	for ; len(script) >= 3; script = script[3:] {
		e.CannotResume = script[2]&128 > 0
		checker.step(&e, decodeInput(script[0], script[1], script[2]))
	}
	if e.Finished() != (checker.finishes == 1) {
		checker.fail("finished without a final action")
	}
}

func FuzzExchange(f *testing.F) {
	f.Add([]byte{0, 0, 0, 7, 0, 0, 2, 0, 0, 10, 0, 0, 12, 0, 0, 15, 0, 0})
	f.Fuzz(runScript)
}

func TestExchangeWithRandomInputs(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 30000 {
		script := make([]byte, 3*(4+rnd.IntN(30)))
		for i := range script {
			script[i] = byte(rnd.Uint32())
		}
		runScript(t, script)
	}
}

// TestExchangeWithMostlyUsualInputs reaches later phases than random inputs do: most signals are ones that can follow the previous action.
func TestExchangeWithMostlyUsualInputs(t *testing.T) {
	rnd := rand.New(rand.NewPCG(3, 4))
	for range 30000 {
		var script []byte
		for range 1 + rnd.IntN(4) {
			attempt, b := byte(rnd.Uint32()), byte(rnd.Uint32())
			for _, kind := range []byte{0, 7, 2, 10, 12, byte(13 + rnd.IntN(3))} {
				if rnd.IntN(12) == 0 {
					kind = byte(rnd.Uint32())
				}
				if kind > 6 {
					b = byte(rnd.Uint32())
				}
				script = append(script, kind, attempt, b&127)
			}
		}
		runScript(t, script)
	}
}

func feedInSplits(t *testing.T, e *proxy.EventStream, text []byte, split func(left int) int) []byte {
	var out []byte
	for len(text) > 0 {
		n := min(max(split(len(text)), 1), len(text))
		complete, err := e.Feed(text[:n])
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, complete...)
		text = text[n:]
	}
	return out
}

// FuzzEvents feeds arbitrary bytes in pieces of any size: all bytes must be returned once and in order, and the splits must not change the
// events.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n:c\r\rdata"), uint64(1))
	f.Add([]byte("000000\r00000000\r\n\r"), uint64(62))
	f.Fuzz(func(t *testing.T, text []byte, seed uint64) {
		rnd := rand.New(rand.NewPCG(seed, 0))
		one, many := proxy.EventStream{MaxEventBytes: 1 << 20}, proxy.EventStream{MaxEventBytes: 1 << 20}
		a := feedInSplits(t, &one, text, func(left int) int { return left })
		b := feedInSplits(t, &many, text, func(int) int { return 1 + rnd.IntN(9) })
		if !bytes.Equal(append(a, one.Remaining()...), text) || !bytes.Equal(append(b, many.Remaining()...), text) {
			t.Fatalf("%q became %q and %q", text, a, b)
		}
		if one.LastID != many.LastID || one.CannotResume != many.CannotResume {
			t.Fatalf("%q: last is %q or %q", text, one.LastID, many.LastID)
		}
	})
}

// TestEventsAcrossResumes cuts a stream at random places again and again; each next replica continues after the last id or starts earlier.
func TestEventsAcrossResumes(t *testing.T) {
	rnd := rand.New(rand.NewPCG(5, 6))
	for range 5000 {
		end := []string{"\n", "\r\n", "\r"}[rnd.IntN(3)]
		var events []string
		for i := range 1 + rnd.IntN(12) {
			events = append(events, fmt.Sprintf("id: %d%sdata: %x%s%s", i+1, end, rnd.Uint32(), end, end))
		}
		e := proxy.EventStream{MaxEventBytes: 1 << 20}
		var out []byte
		from, text := 0, strings.Join(events, "")
		for {
			rest := strings.Join(events[from:], "")
			split := rnd.IntN(len(rest) + 1)
			if rnd.IntN(4) == 0 {
				split = len(rest)
			}
			out = append(out, feedInSplits(t, &e, []byte(rest[:split]), func(int) int { return 1 + rnd.IntN(40) })...)
			if split == len(rest) {
				out = append(out, e.Remaining()...)
				break
			}
			last := 0
			_, _ = fmt.Sscan(e.LastID, &last)
			from = rnd.IntN(last + 1)
			e.StartResponse("")
		}
		if got := strings.ReplaceAll(string(out), "\r\n", "\n"); got != strings.ReplaceAll(text, "\r\n", "\n") {
			t.Fatalf("%q became %q", text, out)
		}
	}
}

// TestEventsAreReturnedAtOnce checks that each event is returned as soon as its last byte arrives, whatever the line ends are. Only after a
// CR the next byte is awaited, as it may be the LF.
func TestEventsAreReturnedAtOnce(t *testing.T) {
	for _, end := range []string{"\n", "\r\n", "\r"} {
		e := proxy.EventStream{MaxEventBytes: 1 << 10}
		for i := range 3 {
			text := fmt.Sprintf("id: %d%sdata: x%s%s", i, end, end, end)
			out := feedInSplits(t, &e, []byte(text), func(int) int { return 1 })
			want(t, "event", string(out), text)
			want(t, "last", e.LastID, i)
		}
	}
}

func TestEventSizeLimit(t *testing.T) {
	e := proxy.EventStream{MaxEventBytes: 10}
	if _, err := e.Feed([]byte("data: 1\n\ndata")); err != nil {
		t.Error(err)
	}
	if _, err := e.Feed([]byte(": 456789")); err == nil {
		t.Error("a too long event was accepted")
	}
}

// FuzzResponse makes a replica send arbitrary bytes: a success reaches the client only if it is complete and has its seal and attempt ID,
// and no byte is added.
func FuzzResponse(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nX-Attempt: id1\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nhi", "HTTP/1.1 200 OK\r\nX-Attempt: id1\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Attempt: id1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"HTTP/1.1 204 None\r\nX-Attempt: id1\r\nX-Seal: s\r\n\r\n", "HTTP/1.1 503 Full\r\nX-Attempt: id1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Attempt: id1\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n",
	} {
		f.Add([]byte(text))
	}
	manual := newManualReplica(f)
	stub := newStubRouter(router.Decision{Verdict: router.Reject}, manual.place(streamRoute))
	settings := proxy.Defaults()
	settings.MaxBufferedResponseBytes = 4 << 10
	_, addr := startWithListener(f, stub, settings, config.Limits{})
	f.Fuzz(func(t *testing.T, text []byte) {
		client := dial(t, addr)
		client.sendRequest(t, "POST", "id1", "X-Wait-Ms: 5000\r\nConnection: close\r\n", "")
		conn := manual.accept(t)
		conn.nextRequest(t)
		_, _ = conn.Write(text)
		_ = conn.Close()
		r := client.readResponse(t, "POST")
		stub.notified()
		for len(stub.arrived) > 0 {
			<-stub.arrived
		}
		proof := parseResponse(text)
		switch {
		case r.status/100 == 2 && r.err == nil && (proof.err != nil || proof.status != r.status || proof.body != r.body):
			t.Fatalf("%q became %d %q, not %d %q", text, r.status, r.body, proof.status, proof.body)
		case r.status/100 == 2 && (r.header["X-Seal"] == nil || proof.header.Get("X-Attempt") != "id1"):
			t.Fatalf("%q became a success without seal or attempt ID", text)
		case r.status == http.StatusServiceUnavailable && proof.header["X-Not-Run"] == nil && proof.status != http.StatusMisdirectedRequest:
			t.Fatalf("%q became a rejection without proof", text)
		}
	})
}

// parseResponse parses the first response that is not informational (1xx).
func parseResponse(text []byte) receivedResponse {
	in := bufio.NewReader(bytes.NewReader(text))
	for {
		resp, err := http.ReadResponse(in, &http.Request{Method: "POST"})
		if err != nil {
			return receivedResponse{err: err}
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		return receivedResponse{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
	}
}
