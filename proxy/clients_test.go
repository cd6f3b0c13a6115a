package proxy_test

import (
	"strings"
	"testing"
)

// TestRequestsInOneSegment sends three pipelined requests in one segment, one with a Content-Length, one chunked and one without a body.
// They run one after the other, and each gets its own body and its own response.
func TestRequestsInOneSegment(t *testing.T) {
	manual := newManualReplica(t)
	p, addr := startDefault(t, newStubRouter(rejectDecision, manual.place(onceRoute)))
	client := dial(t, addr)
	const head = "POST /a HTTP/1.1\r\nHost: h.example\r\nX-Attempt: "
	client.write(t, head+"id1\r\nContent-Length: 3\r\n\r\none"+head+"id2\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n"+head+"id3\r\n\r\n")
	conn := manual.accept(t)
	for _, c := range []struct{ id, body string }{{"id1", "one"}, {"id2", "two"}, {"id3", ""}} {
		request := conn.nextRequest(t)
		want(t, "sent", request.req.Header.Get("X-Attempt")+" "+request.body, c.id+" "+c.body)
		conn.respond(t, request, "200 OK", "", "to "+c.id)
		want(t, "response", client.readResponse(t, "POST").body, "to "+c.id)
	}
	waitIdle(t, p)
	want(t, "requests", p.Counters.Requests.Load(), 3)
}

// TestBytesAfterRequestAreNotPartOfIt sends bytes after the body that are not a valid request: they must reach no replica.
func TestBytesAfterRequestAreNotPartOfIt(t *testing.T) {
	manual := newManualReplica(t)
	p, addr := startDefault(t, newStubRouter(rejectDecision, manual.place(onceRoute)))
	client := dial(t, addr)
	client.sendRequest(t, "POST", "id1", "", "body")
	client.write(t, "surplus \x01\r\n\r\n")
	conn := manual.accept(t)
	request := conn.nextRequest(t)
	want(t, "body", request.body, "body")
	conn.respond(t, request, "200 OK", "", "one")
	want(t, "first", client.readResponse(t, "POST").body, "one")
	want(t, "surplus", client.readResponse(t, "GET").status, 400)
	waitIdle(t, p)
	want(t, "requests", p.Counters.Requests.Load(), 1)
}

// TestRequestOfDisconnectedClientIsNotRetried checks that a request is not sent again after its client closed its connection or the sending
// half of it.
func TestRequestOfDisconnectedClientIsNotRetried(t *testing.T) {
	for name, end := range map[string]func(client *clientConn) error{
		"closes": (*clientConn).Close, "half-closes": func(client *clientConn) error { return client.CloseWrite() },
		"resets": func(client *clientConn) error { _ = client.SetLinger(0); return client.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			manual := newManualReplica(t)
			stub := newStubRouter(rejectDecision, manual.place(idempotentRoute), manual.place(idempotentRoute))
			p, addr := startDefault(t, stub)
			client := dial(t, addr)
			client.sendRequest(t, "GET", "id1", "", "")
			conn := manual.accept(t)
			conn.nextRequest(t)
			_ = end(client)
			conn.waitForClose(t)
			waitIdle(t, p)
			want(t, "events", stub.notified(), "ReadyToSend ClientDisconnected")
			want(t, "dialled", p.Counters.Dials.Load(), 1)
		})
	}
}

// TestResponseBeforeBodyWasRead makes a replica respond and close its connection while a long body is still being written: the request may
// have run.
func TestResponseBeforeBodyWasRead(t *testing.T) {
	manual := newManualReplica(t)
	p, addr := startDefault(t, newStubRouter(rejectDecision, manual.place(onceRoute), manual.place(onceRoute)))
	client := dial(t, addr)
	client.sendRequest(t, "POST", "id1", "X-Wait-Ms: 20000\r\n", strings.Repeat("x", 12<<20))
	conn := manual.accept(t)
	if _, err := conn.reader.ReadByte(); err != nil {
		t.Fatal(err)
	}
	conn.respond(t, receivedRequest{req: idRequest("id1")}, "200 OK", "Connection: close\r\n", "early")
	_ = conn.Close()
	want(t, "status", client.readResponse(t, "POST").status, 502)
	want(t, "dialled", p.Counters.Dials.Load(), 1)
}
