package proxy_test

import (
	"fmt"
	"testing"
)

// TestResponsesWithOtherAttemptIDAreDropped checks that a response with an attempt ID is not taken as the response to a request without
// one, and that two requests without one don't share a connection, because a late response to the first could not be
// distinguished from the response to the second.
func TestResponsesWithOtherAttemptIDAreDropped(t *testing.T) {
	const plain = "GET /a HTTP/1.1\r\nHost: h.example\r\n\r\n"
	response := func(body string) string {
		text, _ := respondWith("200 OK", "", body)(receivedRequest{req: idRequest("")})
		return text
	}
	t.Run("named", func(t *testing.T) {
		manual := newManualReplica(t)
		_, addr := startDefault(t, newStubRouter(unknownDecision, manual.place(idempotentRoute)))
		client := dial(t, addr)
		client.write(t, plain)
		conn := manual.accept(t)
		conn.respond(t, receivedRequest{req: idRequest("other")}, "200 OK", "", "other's")
		want(t, "status", client.readResponse(t, "GET").status, 502)
	})
	t.Run("nameless", func(t *testing.T) {
		manual := newManualReplica(t)
		_, addr := startDefault(t, newStubRouter(unknownDecision, manual.place(onceRoute)))
		client := dial(t, addr)
		for _, body := range []string{"one", "two"} {
			client.write(t, plain)
			conn := manual.accept(t)
			conn.nextRequest(t)
			conn.write(t, response(body))
			want(t, "response", client.readResponse(t, "GET").body, body)
		}
	})
	t.Run("nameless after a named one", func(t *testing.T) {
		manual := newManualReplica(t)
		_, addr := startDefault(t, newStubRouter(unknownDecision, manual.place(onceRoute)))
		client := dial(t, addr)
		client.sendRequest(t, "GET", "id1", "", "")
		conn := manual.accept(t)
		conn.respond(t, conn.nextRequest(t), "200 OK", "", "one")
		want(t, "first", client.readResponse(t, "GET").body, "one")
		client.write(t, plain)
		conn = manual.accept(t)
		conn.nextRequest(t)
		conn.write(t, response("two"))
		want(t, "second", client.readResponse(t, "GET").body, "two")
	})
}

// TestLateResponseToHEADIsNotSkipped guards against skipping a late response to a HEAD request: its Content-Length counts bytes that don't
// follow it. Skipping that many bytes would consume the head of the next response and leave its body, which in this test looks like a
// response itself.
func TestLateResponseToHEADIsNotSkipped(t *testing.T) {
	manual := newManualReplica(t)
	_, addr := startDefault(t, newStubRouter(unknownDecision, manual.place(onceRoute)))
	client := dial(t, addr)
	client.sendRequest(t, "HEAD", "id1", "", "")
	conn := manual.accept(t)
	inner, _ := respondWith("200 OK", "", "only a part")(receivedRequest{req: idRequest("id2")})
	complete, _ := respondWith("200 OK", "", inner)(receivedRequest{req: idRequest("id2")})
	overdue := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt: id1\r\nX-Seal: s\r\nContent-Length: %d\r\n\r\n", len(complete)-len(inner))
	conn.nextRequest(t)
	conn.write(t, overdue)
	want(t, "first", client.readResponse(t, "HEAD").status, 200)
	client.sendRequest(t, "GET", "id2", "", "")
	conn.nextRequest(t)
	conn.write(t, overdue+complete)
	second := client.readResponse(t, "GET")
	want(t, "second", fmt.Sprint(second.status, second.body == "only a part"), "502 false")
}
