package proxy_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/router"
)

const headWithLength50 = "HTTP/1.1 200 OK\r\nX-Attempt: id1\r\nX-Seal: s\r\nContent-Length: 50\r\n\r\n"

func TestReplicaResetsAtEachMoment(t *testing.T) {
	stream := "HTTP/1.1 200 OK\r\nX-Attempt: id1\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name, sent   string
		route        *config.Route
		status       int
		body, events string
		cut, retried bool
	}{
		{name: "before any byte", route: onceRoute, status: 502, events: "ReadyToSend AttemptEnded(broken)"},
		{name: "within the head", sent: headWithLength50[:30], route: onceRoute, status: 502, events: "ReadyToSend AttemptEnded(broken)"},
		{name: "after the head", sent: headWithLength50, route: onceRoute, status: 502, events: "ReadyToSend ResponseHead AttemptEnded(broken)"},
		{name: "within the body", sent: headWithLength50 + "some", route: onceRoute, status: 502, events: "ReadyToSend ResponseHead AttemptEnded(broken)"},
		{name: "within the body, idempotent", sent: headWithLength50 + "some", route: idempotentRoute, status: 200, events: "ReadyToSend ResponseHead AttemptEnded(broken) ReadyToSend ResponseHead AttemptEnded(whole)", retried: true},
		{name: "after a stream's head", sent: stream, route: streamRoute, status: 502, events: "ReadyToSend ResponseHead AttemptEnded(broken)"},
		{name: "within a stream", sent: stream + "7\r\nid: 1\n\n\r\n", route: streamRoute, status: 200, cut: true, events: "ReadyToSend ResponseHead ResponseStarted AttemptEnded(broken)"},
		{name: "within a refusal", sent: "HTTP/1.1 503 Full\r\nX-Attempt: id1\r\nX-Not-Run: 1\r\nContent-Length: 9\r\n\r\nhalf", route: onceRoute, status: 503, events: "ReadyToSend AttemptEnded(refused)"},
	} {
		t.Run(c.name, func(t *testing.T) {
			manual, places := newManualReplica(t), []router.Decision{}
			places = append(places, manual.place(c.route))
			if c.retried {
				places = append(places, manual.place(c.route))
			}
			stub := newStubRouter(rejectDecision, places...)
			p, addr := startDefault(t, stub)
			client := dial(t, addr)
			client.sendRequest(t, "GET", "id1", "", "")
			conn := manual.accept(t)
			conn.nextRequest(t)
			conn.write(t, c.sent)
			if c.cut {
				if _, err := client.reader.Peek(1); err != nil {
					t.Fatal(err)
				}
			} else if len(c.sent) > 0 {
				waitUntilRead(t, conn)
			}
			conn.reset()
			if c.retried {
				next := manual.accept(t)
				next.respond(t, next.nextRequest(t), "200 OK", "", "whole")
			}
			got := client.readResponse(t, "GET")
			want(t, "response", fmt.Sprint(got.status, got.err != nil), fmt.Sprint(c.status, c.cut))
			waitIdle(t, p)
			want(t, "events", stub.notified(), c.events)
		})
	}
}

// waitUntilRead waits until the proxy's kernel has acknowledged all bytes sent: a reset would discard bytes that are still in a socket
// buffer.
func waitUntilRead(t *testing.T, conn *replicaConn) {
	t.Helper()
	for end := time.Now().Add(testTimeout); unacked(t, conn.TCPConn) > 0; {
		if time.Now().After(end) {
			t.Fatal("the proxy did not read all bytes")
		}
	}
}

// disconnectBeforeSend is a router that ends the replica's connection right before it permits the request to be sent.
type disconnectBeforeSend struct {
	*stubRouter
	disconnect func()
}

func (e *disconnectBeforeSend) Notify(ev router.Event) {
	if _, ok := ev.(router.ReadyToSend); ok && e.disconnect != nil {
		e.disconnect()
		e.disconnect = nil
	}
	e.stubRouter.Notify(ev)
}

// TestReusedConnectionEndsBeforeWrite ends an idle connection in different ways before the next request is written to it. No byte of the
// request was sent, so it must be sent on a new connection.
func TestReusedConnectionEndsBeforeWrite(t *testing.T) {
	reset, closed := (*replicaConn).reset, func(conn *replicaConn) { _ = conn.Close() }
	for name, c := range map[string]struct {
		route *config.Route
		end   func(conn *replicaConn)
		late  bool
	}{
		"reset while idle, idempotent":  {idempotentRoute, reset, false},
		"reset while idle":              {onceRoute, reset, false},
		"closed while idle, idempotent": {idempotentRoute, closed, false},
		"closed while idle":             {onceRoute, closed, false},
		"reset late, idempotent":        {idempotentRoute, reset, true},
		"reset late":                    {onceRoute, reset, true},
		"closed late":                   {onceRoute, closed, true},
	} {
		t.Run(name, func(t *testing.T) {
			manual := newManualReplica(t)
			stub := &disconnectBeforeSend{stubRouter: newStubRouter(rejectDecision, manual.place(c.route))}
			p, addr := startDefault(t, stub)
			client := dial(t, addr)
			client.sendRequest(t, "GET", "id1", "", "")
			conn := manual.accept(t)
			conn.respond(t, conn.nextRequest(t), "200 OK", "", "one")
			want(t, "first", client.readResponse(t, "GET").body, "one")
			end := func() { c.end(conn) }
			if c.late {
				stub.disconnect = end
			} else {
				end()
			}
			client.sendRequest(t, "GET", "id2", "", "")
			next := manual.accept(t)
			next.respond(t, next.nextRequest(t), "200 OK", "", "two")
			want(t, "second", client.readResponse(t, "GET").body, "two")
			want(t, "events", stub.notified(), "ReadyToSend ResponseHead AttemptEnded(whole) ReadyToSend ResponseHead AttemptEnded(whole)")
			want(t, "stale and dialled", p.Counters.Stale.Load()*10+p.Counters.Dials.Load(), 12)
			next.reset()
			_ = manual.listener.Close()
			client.sendRequest(t, "GET", "id3", "", "")
			want(t, "third", client.readResponse(t, "GET").status, 503)
			if notified := stub.notified(); !strings.HasSuffix(notified, "AttemptEnded(unreached)") {
				t.Errorf("events %s", notified)
			}
		})
	}
}

// TestRepeatedAttemptTakesAnotherConnection checks that two requests with the same attempt ID don't share a connection: a duplicate
// response to the first could not be distinguished from the response to the second.
func TestRepeatedAttemptTakesAnotherConnection(t *testing.T) {
	manual := newManualReplica(t)
	_, addr := startDefault(t, newStubRouter(rejectDecision, manual.place(idempotentRoute)))
	client := dial(t, addr)
	for _, body := range []string{"one", "two"} {
		client.sendRequest(t, "GET", "id1", "", "")
		conn := manual.accept(t)
		conn.respond(t, conn.nextRequest(t), "200 OK", "", body)
		want(t, "response", client.readResponse(t, "GET").body, body)
	}
}

// TestReplicaDiesAfterTheWrite resets a reused connection as soon as the request arrived: the request may have run, so its outcome is
// unknown.
func TestReplicaDiesAfterTheWrite(t *testing.T) {
	manual := newManualReplica(t)
	stub := newStubRouter(rejectDecision, manual.place(onceRoute))
	p, addr := startDefault(t, stub)
	client := dial(t, addr)
	client.sendRequest(t, "GET", "id1", "", "")
	conn := manual.accept(t)
	conn.respond(t, conn.nextRequest(t), "200 OK", "", "one")
	want(t, "first", client.readResponse(t, "GET").body, "one")
	client.sendRequest(t, "GET", "id2", "", "")
	conn.nextRequest(t)
	conn.reset()
	want(t, "second", client.readResponse(t, "GET").status, 502)
	want(t, "dialled", p.Counters.Dials.Load(), 1)
	want(t, "events", stub.notified(), "ReadyToSend ResponseHead AttemptEnded(whole) ReadyToSend AttemptEnded(broken)")
}
