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

// dialWithSmallWindow connects with a small receive buffer, so that the proxy's writes block early.
func dialWithSmallWindow(t *testing.T, addr string) *clientConn {
	t.Helper()
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 2048) })
	}}
	c, err := d.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &clientConn{TCPConn: c.(*net.TCPConn)}
}

const longResponseBytes = 16 << 20

// newLongResponseReplica returns a replica whose response is larger than any socket buffer.
func newLongResponseReplica(t *testing.T) *replica {
	return newReplica(t, respondWith("200 OK", "", strings.Repeat("x", longResponseBytes)))
}

func TestClientThatDoesNotReadIsDisconnected(t *testing.T) {
	settings := proxy.Defaults()
	settings.StallTimeout = 150 * time.Millisecond
	stub := newStubRouter(unknownDecision, newLongResponseReplica(t).place(onceRoute))
	p, addr := startWithListener(t, stub, settings, config.Limits{})
	client := dialWithSmallWindow(t, addr)
	client.sendRequest(t, "GET", "id1", "", "")
	for end := time.Now().Add(testTimeout); p.Counters.Hangups.Load() == 0; runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatal("a client that does not read was not disconnected")
		}
	}
	waitIdle(t, p)
	want(t, "reserved bytes", p.Reserved(), 0)
}

// TestSlowReaderIsNotDisconnected reads a little ten times per stall timeout, for ten stall timeouts.
func TestSlowReaderIsNotDisconnected(t *testing.T) {
	settings := proxy.Defaults()
	settings.StallTimeout = 200 * time.Millisecond
	stub := newStubRouter(unknownDecision, newLongResponseReplica(t).place(onceRoute))
	p, addr := startWithListener(t, stub, settings, config.Limits{})
	client := dialWithSmallWindow(t, addr)
	client.sendRequest(t, "GET", "id1", "", "")
	tick := time.NewTicker(settings.StallTimeout / 10)
	defer tick.Stop()
	for range 100 {
		<-tick.C
		if _, err := io.ReadFull(client, make([]byte, 1024)); err != nil {
			t.Fatal(err)
		}
	}
	want(t, "cut", p.Counters.Hangups.Load(), 0)
}

// TestStalledWritesKeepTheirOrder makes writes to a client time out repeatedly in the middle of events: each byte must arrive exactly once.
func TestStalledWritesKeepTheirOrder(t *testing.T) {
	settings := proxy.Defaults()
	settings.StallTimeout = 40 * time.Millisecond
	var all []string
	for id := range 400 {
		all = append(all, fmt.Sprintf("id: %d\ndata: %s\n\n", id+1, strings.Repeat(fmt.Sprint(id%10), 10000)))
	}
	p, addr := startWithListener(t, newStubRouter(partialDecision, newReplica(t, stream(true, all...)).place(streamRoute)), settings, config.Limits{})
	client := dialWithSmallWindow(t, addr)
	client.sendRequest(t, "GET", "id1", "X-Wait-Ms: 60000\r\n", "")
	tick := time.NewTicker(settings.StallTimeout * 5 / 4)
	defer tick.Stop()
	var text strings.Builder
	for range 25 {
		<-tick.C
		if _, err := io.CopyN(&text, client, 8<<10); err != nil {
			t.Fatal(err)
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader(text.String()), client)), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	want(t, "error", err, error(nil))
	if string(body) != strings.Join(all, "") {
		t.Errorf("got %d bytes, want %d, or the content differs", len(body), len(strings.Join(all, "")))
	}
	waitIdle(t, p)
}

// TestSlowReaderIsDisconnectedAfterRequestDeadline checks that a slow client doesn't occupy a slot of a replica after the deadline of its
// request.
func TestSlowReaderIsDisconnectedAfterRequestDeadline(t *testing.T) {
	settings := proxy.Defaults()
	settings.StallTimeout, settings.MaxBufferedResponseBytes = 300*time.Millisecond, 4<<20
	stub := newStubRouter(unknownDecision, newLongResponseReplica(t).place(&config.Route{Timeout: 2 * time.Second}))
	p, addr := startWithListener(t, stub, settings, config.Limits{})
	client := dialWithSmallWindow(t, addr)
	client.sendRequest(t, "GET", "id1", "", "")
	tick := time.NewTicker(settings.StallTimeout / 30)
	defer tick.Stop()
	for received := 0; p.Counters.Hangups.Load()+p.Counters.Aborted.Load() == 0; <-tick.C {
		n, err := client.Read(make([]byte, 2048))
		if received += n; err != nil || received > 1<<20 {
			t.Fatal("the request was not ended: bytes read and error:", received, err)
		}
	}
	waitIdle(t, p)
}

func TestStalledUploadsTimeOut(t *testing.T) {
	for _, c := range []struct{ name, head, part string }{
		{"sized", "Content-Length: 10\r\n", "half"},
		{"chunked", "Transfer-Encoding: chunked\r\n", "4\r\nhalf\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			stub := newStubRouter(rejectDecision)
			p, addr := startWithListener(t, stub, proxy.Defaults(), config.Limits{Header: 100 * time.Millisecond})
			client := dial(t, addr)
			client.write(t, "POST /a HTTP/1.1\r\nHost: h\r\nX-Attempt: id1\r\n"+c.head+"\r\n"+c.part)
			r := client.readResponse(t, "POST")
			want(t, "response", fmt.Sprint(r.status, r.header.Get("Connection")), "408close")
			waitIdle(t, p)
			want(t, "arrivals and reserved bytes", int64(len(stub.arrived))+p.Reserved(), 0)
		})
	}
}

// TestSlowUploadTimesOut sends a body so slowly that only the limit on the whole upload ends it: each single byte arrives within the header
// timeout.
func TestSlowUploadTimesOut(t *testing.T) {
	settings := proxy.Defaults()
	settings.UploadTimeout = 300 * time.Millisecond
	p, addr := startWithListener(t, newStubRouter(rejectDecision), settings, config.Limits{Header: 200 * time.Millisecond})
	client := dial(t, addr)
	client.write(t, "POST /a HTTP/1.1\r\nHost: h\r\nX-Attempt: id1\r\nContent-Length: 100000\r\n\r\n")
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for sent := 0; p.Counters.Bad.Load() == 0; sent++ {
		<-tick.C
		if _, err := io.WriteString(client, "x"); err != nil || sent == 200 {
			t.Fatal("the upload did not time out: bytes sent and error:", sent, err)
		}
	}
	want(t, "status", client.readResponse(t, "POST").status, 408)
}

func TestBudget(t *testing.T) {
	manual := newManualReplica(t)
	settings := proxy.Defaults()
	settings.BudgetBytes = 100 << 10
	stub := newStubRouter(rejectDecision, manual.place(onceRoute))
	p, addr := startWithListener(t, stub, settings, config.Limits{})
	first := dial(t, addr)
	first.sendRequest(t, "POST", "id1", "", strings.Repeat("x", 80<<10))
	conn := manual.accept(t)
	request := conn.nextRequest(t)
	<-stub.arrived
	for _, extra := range []string{"Content-Length: 20000\r\n", "Transfer-Encoding: chunked\r\n"} {
		second := dial(t, addr)
		second.write(t, "POST /a HTTP/1.1\r\nHost: h\r\nX-Attempt: id2\r\n"+extra+"\r\n")
		if strings.HasPrefix(extra, "T") {
			second.write(t, "4e20\r\n"+strings.Repeat("y", 20000)+"\r\n")
		}
		r := second.readResponse(t, "POST")
		want(t, "second", fmt.Sprint(r.status, r.header.Get("Retry-After")), "5030.01")
	}
	want(t, "arrivals", len(stub.arrived), 0)
	want(t, "full", p.Counters.Full.Load(), 2)
	conn.respond(t, request, "200 OK", "", "done")
	want(t, "first", first.readResponse(t, "POST").body, "done")
	first.sendRequest(t, "POST", "id3", "", strings.Repeat("x", 80<<10))
	conn = &replicaConn{TCPConn: conn.TCPConn, reader: conn.reader}
	conn.respond(t, conn.nextRequest(t), "200 OK", "", strings.Repeat("z", 200<<10))
	want(t, "long response", len(first.readResponse(t, "POST").body), 200<<10)
	waitIdle(t, p)
	want(t, "reserved bytes", p.Reserved(), 0)
}

// TestReplicaThatStopsReadingForAWhile sends the same request through two proxies to replicas with small receive buffers that don't read.
// Only the proxy whose ReceiveWindow setting exceeds the request keeps the short TCP_USER_TIMEOUT and loses its connection; the other
// replica starts to read after that and still responds.
func TestReplicaThatStopsReadingForAWhile(t *testing.T) {
	var clients []*clientConn
	var replicas []*manualReplica
	for _, window := range []int{proxy.Defaults().ReceiveWindow, 1 << 30} {
		manual := newManualReplica(t)
		raw, err := manual.listener.SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4096) })
		settings := proxy.Defaults()
		settings.UserTimeout, settings.ReceiveWindow = 300*time.Millisecond, window
		_, addr := startWithListener(t, newStubRouter(rejectDecision, manual.place(onceRoute)), settings, config.Limits{})
		client := dial(t, addr)
		client.sendRequest(t, "POST", "id1", "X-Wait-Ms: 30000\r\n", strings.Repeat("x", 30000))
		clients, replicas = append(clients, client), append(replicas, manual)
	}
	patient, impatient := replicas[0].accept(t), replicas[1].accept(t)
	want(t, "impatient", clients[1].readResponse(t, "POST").status, 502)
	impatient.reset()
	patient.respond(t, patient.nextRequest(t), "200 OK", "", "late")
	want(t, "patient", clients[0].readResponse(t, "POST").body, "late")
}
