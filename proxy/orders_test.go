package proxy_test

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/mallowbridge/mallowbridge/config"
)

// replicaStep is something that a replica does on a connection while the second of two requests is in flight.
type replicaStep struct {
	name string
	// output is what the replica writes. Afterwards the connection is closed if closes is set, and reset if resets is set.
	output         string
	closes, resets bool
	// isResponse is set if the output is the response to the second request, provesNotRun if it proves that this request did not run.
	isResponse, provesNotRun bool
}

func replicaSteps() []replicaStep {
	first, second := receivedRequest{req: idRequest("id1")}, receivedRequest{req: idRequest("id2")}
	lateResponse, _ := respondWith("200 OK", "", "late")(first)
	lateRefusal, _ := respondWith("503 Full", "X-Not-Run: 1\r\n", "")(first)
	response, _ := respondWith("200 OK", "", "two")(second)
	refusal, _ := respondWith("503 Full", "X-Not-Run: 1\r\n", "")(second)
	refusalWithoutProof, _ := respondWith("503 Full", "", "")(second)
	return []replicaStep{
		{name: "late response", output: lateResponse}, {name: "late refusal", output: lateRefusal}, {name: "early hint", output: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{name: "junk", output: "junk\r\n\r\n"}, {name: "part", output: response[:len(response)-1], closes: true}, {name: "close", closes: true}, {name: "reset", resets: true},
		{name: "response", output: response, isResponse: true}, {name: "refusal", output: refusal, isResponse: true, provesNotRun: true}, {name: "503 without proof", output: refusalWithoutProof},
	}
}

// stepSequences returns every sequence of at most maxSteps steps; no step follows the end of the connection.
func stepSequences(maxSteps int) [][]replicaStep {
	all := [][]replicaStep{nil}
	for from := 0; maxSteps > 0; maxSteps-- {
		until := len(all)
		for ; from < until; from++ {
			sequence := all[from]
			if n := len(sequence); n > 0 && (sequence[n-1].closes || sequence[n-1].resets) {
				continue
			}
			for _, step := range replicaSteps() {
				all = append(all, append(sequence[:len(sequence):len(sequence)], step))
			}
		}
	}
	return all
}

func (conn *replicaConn) play(steps []replicaStep) {
	for _, step := range steps {
		_, _ = conn.Write([]byte(step.output))
		switch {
		case step.resets:
			conn.reset()
		case step.closes:
			_ = conn.Close()
		}
	}
}

func sequenceName(steps []replicaStep) string {
	var names []string
	for _, step := range steps {
		names = append(names, step.name)
	}
	return strings.Join(names, ", ")
}

// TestEveryReplicaBehaviourOnReusedConnection makes a replica act in every way, on an idle connection after the first request and after the
// second request has been written to it. The second client must get its own response or none, and a rejection only if the replica proved
// that the request did not run. A request that must not be sent twice is read at most once.
func TestEveryReplicaBehaviourOnReusedConnection(t *testing.T) {
	n := 0
	for name, route := range map[string]*config.Route{"once": onceRoute, "idempotent": idempotentRoute} {
		for _, before := range stepSequences(1) {
			for _, later := range stepSequences(2) {
				checkSequence(t, name+"; before: "+sequenceName(before)+"; then: "+sequenceName(later), route, before, later)
				n++
				if t.Failed() {
					return
				}
			}
		}
	}
	t.Logf("%d sequences", n)
}

func checkSequence(t *testing.T, name string, route *config.Route, before, later []replicaStep) {
	manual := newManualReplica(t)
	defer manual.listener.Close()
	p, addr := startDefault(t, newStubRouter(rejectDecision, manual.place(route), manual.place(route)))
	client := dial(t, addr)
	defer client.Close()
	client.sendRequest(t, "GET", "id1", "", "")
	conn := manual.accept(t)
	conn.respond(t, conn.nextRequest(t), "200 OK", "", "one")
	want(t, name+": first", client.readResponse(t, "GET").body, "one")
	conn.play(before)
	requests, proofs, responses := make(chan struct{}, 9), make(chan bool, 9), make(chan bool, 9)
	go serveSequence(conn, later, requests, proofs, responses)
	go func() {
		for {
			c, err := manual.listener.AcceptTCP()
			if err != nil {
				return
			}
			go serveSequence(newReplicaConn(c), later, requests, proofs, responses)
		}
	}()
	client.sendRequest(t, "GET", "id2", "X-Wait-Ms: 2000\r\n", "")
	got := client.readResponse(t, "GET")
	waitIdle(t, p)
	switch ran := len(requests); {
	case route == onceRoute && ran-len(proofs) > 1:
		t.Errorf("%s: read %d times, refused %d times", name, ran, len(proofs))
	case got.status == 200 && got.err == nil && (got.body != "two" || len(responses) == 0):
		t.Errorf("%s: got %q", name, got.body)
	case got.status == 503 && ran > len(proofs):
		t.Errorf("%s: rejected without proof", name)
	case got.status != 200 && got.status != 503 && got.status != 502 && got.status != 504:
		t.Errorf("%s: status %d, %v", name, got.status, got.err)
	}
}

// readRequest reports whether a request arrived.
func (conn *replicaConn) readRequest() bool {
	_, err := http.ReadRequest(conn.reader)
	return err == nil
}

func newReplicaConn(c *net.TCPConn) *replicaConn {
	return &replicaConn{TCPConn: c, reader: bufio.NewReader(c)}
}

// serveSequence reads a request and executes the steps; at the end it closes the connection.
func serveSequence(conn *replicaConn, steps []replicaStep, requests chan<- struct{}, proofs, responses chan<- bool) {
	defer conn.Close()
	if !conn.readRequest() {
		return
	}
	requests <- struct{}{}
	for _, step := range steps {
		if step.provesNotRun {
			proofs <- true
		}
		if step.isResponse && !step.provesNotRun {
			responses <- true
		}
	}
	conn.play(steps)
}
