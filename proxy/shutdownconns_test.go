package proxy_test

import (
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/proxy"
	"github.com/mallowbridge/mallowbridge/router"
)

// A proxy that shuts down serves only requests that name a deadline within the grace period.
const (
	shutdownGrace = time.Hour
	shortDeadline = "X-Wait-Ms: 1000\r\n"
)

func settingsWithLinger(d time.Duration) proxy.Settings {
	settings := proxy.Defaults()
	settings.ShutdownLinger = d
	return settings
}

// waitForClose waits until the proxy closes an idle connection, and fails if it sends anything instead.
func (client *clientConn) waitForClose(t *testing.T) {
	t.Helper()
	if _, err := client.reader.ReadByte(); err != io.EOF {
		t.Errorf("an idle connection ended with %v, want EOF", err)
	}
}

func TestResponsesDuringShutdownCloseConnection(t *testing.T) {
	replica := newReplica(t, respondWith("200 OK", "", "one"), stream(true, "id: 1\ndata: a\n\n"))
	stub := newStubRouter(rejectDecision, replica.place(streamRoute))
	p, addr := startWithListener(t, stub, settingsWithLinger(time.Hour), config.Limits{})
	open := dial(t, addr)
	p.Shutdown(shutdownGrace)
	open.sendRequest(t, "GET", "id1", shortDeadline, "")
	r := open.readResponse(t, "GET")
	want(t, "response", fmt.Sprint(r.body, r.header["Connection"], r.header["Keep-Alive"]), "one[close] []")
	open.waitForClose(t)
	open = dial(t, addr)
	open.sendRequest(t, "GET", "id2", shortDeadline, "")
	r = open.readResponse(t, "GET")
	want(t, "stream", fmt.Sprint(r.body, r.header["Connection"]), "id: 1\ndata: a\n\n[close]")
	open.waitForClose(t)
	p, addr = startWithListener(t, singleDecisionRouter{rejectDecision}, settingsWithLinger(time.Hour), config.Limits{})
	p.Shutdown(shutdownGrace)
	open = dial(t, addr)
	open.sendRequest(t, "GET", "id4", shortDeadline, "")
	r = open.readResponse(t, "GET")
	want(t, "refusal", fmt.Sprint(r.status, r.header["Connection"]), "503 [close]")
}

func TestShutdownClosesIdleConnectionsOnly(t *testing.T) {
	manual := newManualReplica(t)
	settings := settingsWithLinger(time.Millisecond)
	settings.IdleTimeout, settings.IdleTimeoutNonRetryable = time.Hour, time.Hour
	p, addr := startWithListener(t, newStubRouter(rejectDecision, manual.place(onceRoute)), settings, config.Limits{})
	idle, waiting, uploading, unused := dial(t, addr), dial(t, addr), dial(t, addr), dial(t, addr)
	idle.sendRequest(t, "GET", "id1", "", "")
	r1 := manual.accept(t)
	r1.respond(t, r1.nextRequest(t), "200 OK", "", "one")
	want(t, "idle", idle.readResponse(t, "GET").body, "one")
	waiting.sendRequest(t, "GET", "id2", "", "")
	g2 := r1.nextRequest(t)
	uploading.write(t, "POST /a HTTP/1.1\r\nHost: h\r\nX-Attempt: id3\r\nX-Wait-Ms: 1000\r\nContent-Le")
	for p.RequestsInFlight() != 2 {
		runtime.Gosched()
	}
	p.Shutdown(shutdownGrace)
	idle.waitForClose(t)
	r1.respond(t, g2, "200 OK", "", "two")
	got := waiting.readResponse(t, "GET")
	want(t, "waiting", fmt.Sprint(got.body, got.header["Connection"]), "two[close]")
	uploading.write(t, "ngth: 4\r\n\r\nbo")
	uploading.write(t, "dy")
	r1.respond(t, r1.nextRequest(t), "200 OK", "", "three")
	want(t, "uploading", uploading.readResponse(t, "POST").body, "three")
	unused.sendRequest(t, "GET", "id4", shortDeadline, "")
	r1.respond(t, r1.nextRequest(t), "200 OK", "", "four")
	want(t, "unused", unused.readResponse(t, "GET").body, "four")
	waitIdle(t, p)
}

// TestResponsesStartedBeforeShutdownAreCompleted checks a stream that started before the shutdown: its head did not announce a close, so
// the connection is closed when it becomes idle.
func TestResponsesStartedBeforeShutdownAreCompleted(t *testing.T) {
	manual := newManualReplica(t)
	p, addr := startWithListener(t, newStubRouter(rejectDecision, manual.place(streamRoute)), settingsWithLinger(time.Millisecond), config.Limits{})
	other, client := dial(t, addr), dial(t, addr)
	client.sendRequest(t, "GET", "id1", "", "")
	conn := manual.accept(t)
	conn.nextRequest(t)
	conn.write(t, "HTTP/1.1 200 OK\r\nX-Attempt: id1\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n")
	if _, err := client.reader.Peek(1); err != nil {
		t.Fatal(err)
	}
	other.sendRequest(t, "GET", "id0", "", "")
	o := manual.accept(t)
	o.respond(t, o.nextRequest(t), "200 OK", "", "idle")
	want(t, "other", other.readResponse(t, "GET").body, "idle")
	p.Shutdown(shutdownGrace)
	other.waitForClose(t)
	conn.write(t, "7\r\nid: 2\n\n\r\n0\r\n\r\n")
	want(t, "stream", client.readResponse(t, "GET").body, "id: 1\n\nid: 2\n\n")
	client.waitForClose(t)
}

// TestShutdownAnswersEachRequestRead sends requests on reused connections while the node closes the idle ones: each request is either
// answered or was never read.
func TestShutdownAnswersEachRequestRead(t *testing.T) {
	const n = 64
	for range 5 {
		stub := newStubRouter(rejectDecision)
		stub.arrived, stub.events = make(chan router.Arrival, 4*n), make(chan router.Event, 16*n)
		p, addr := startWithListener(t, stub, settingsWithLinger(time.Millisecond), config.Limits{})
		var clients []*clientConn
		for range n {
			client := dial(t, addr)
			client.sendRequest(t, "GET", "id", "", "")
			want(t, "before", client.readResponse(t, "GET").status, 503)
			clients = append(clients, client)
		}
		go p.Shutdown(shutdownGrace)
		results := make(chan bool, n)
		for _, client := range clients {
			go func() {
				_, _ = io.WriteString(client, "GET /a HTTP/1.1\r\n")
				_, _ = io.WriteString(client, "Host: h\r\nX-Attempt: id2\r\nX-Wait-Ms: 1000\r\n\r\n")
				r := client.readResponse(t, "GET")
				results <- r.err == nil && r.status == 503
			}()
		}
		answered := 0
		for range clients {
			if <-results {
				answered++
			}
		}
		waitIdle(t, p)
		want(t, "arrivals", len(stub.arrived)-n, answered)
	}
}

func TestKeepAliveMatchesIdleTimeout(t *testing.T) {
	for idle, advertised := range map[time.Duration]string{
		15 * time.Second: "[timeout=14]", 2 * time.Second: "[timeout=1]", 1200 * time.Millisecond: "[]", 0: "[timeout=59]",
	} {
		replica := newReplica(t, respondWith("200 OK", "Keep-Alive: timeout=3\r\n", "one"), respondWith("200 OK", "", "two"))
		_, addr := startWithListener(t, newStubRouter(rejectDecision, replica.place(onceRoute)), proxy.Defaults(), config.Limits{Idle: idle})
		client := dial(t, addr)
		client.sendRequest(t, "GET", "id1", "", "")
		want(t, idle.String(), fmt.Sprint(client.readResponse(t, "GET").header["Keep-Alive"]), advertised)
		client.sendRequest(t, "GET", "id2", "Connection: close\r\n", "")
		want(t, "when closing", fmt.Sprint(client.readResponse(t, "GET").header["Keep-Alive"]), "[]")
	}
}

func TestIdleClientIsDisconnected(t *testing.T) {
	_, addr := startWithListener(t, singleDecisionRouter{rejectDecision}, proxy.Defaults(), config.Limits{Idle: 50 * time.Millisecond})
	client := dial(t, addr)
	client.sendRequest(t, "GET", "id1", "", "")
	want(t, "status", client.readResponse(t, "GET").status, 503)
	client.waitForClose(t)
}
