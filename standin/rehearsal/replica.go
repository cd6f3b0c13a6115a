package rehearsal

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/mallowbridge/mallowbridge/ledger"
	"github.com/mallowbridge/mallowbridge/platform"
)

// headerRequest is the header with the id that all attempts of a request share. Nodes forward it like any header that they don't know.
const headerRequest = "X-Rehearsal-Request"

// Replica is one incarnation of a stand-in model replica that speaks the protocol of the platform.
type Replica struct {
	Instance string
	Addr     string
	// WeightVersion is the version of the model weights.
	WeightVersion uint64
	faults        FaultRates
	draining      atomic.Bool
	server        *http.Server
	seed          uint64
	// served counts the requests that were not misdirected.
	served atomic.Uint64
	// zone is the zone in which the platform lists the replica.
	zone string
	// stoppedAt is the time of the stop in Unix milliseconds, or 0 while the replica runs.
	stoppedAt atomic.Int64
	// onRun, if not nil, is called for each request that the replica starts to run.
	onRun func(run ReplicaRun)
}

// ReplicaRun describes a request that a replica starts to run. Faulty reports whether the replica is going to inject a fault into the response.
type ReplicaRun struct {
	Replica *Replica
	Request *http.Request
	Body    []byte
	Faulty  bool
}

// maxEventPause is the longest pause between two events of a response.
const maxEventPause = 6 * time.Millisecond

func pause(rng *rand.Rand) { time.Sleep(time.Duration(rng.Int64N(int64(maxEventPause)))) }

// StartReplica serves on a free port of the loopback interface until Stop. If onRun is not nil, it is called for each request that the replica starts
// to run.
func StartReplica(instance string, weights, seed uint64, faults FaultRates, onRun func(run ReplicaRun)) (*Replica, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Replica{Instance: instance, Addr: lis.Addr().String(), WeightVersion: weights, faults: faults, seed: seed, onRun: onRun}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = r.server.Serve(lis) }()
	return r, nil
}

// Stop stops the replica and closes all its connections at once.
func (r *Replica) Stop() {
	r.stoppedAt.CompareAndSwap(0, time.Now().UnixMilli())
	_ = r.server.Close()
}

// ServeHTTP serves a health check (GET) or runs a request, whose response may have a random fault.
func (r *Replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	h := w.Header()
	if q.Method == http.MethodGet {
		h.Set(platform.HeaderInstanceID, r.Instance)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	h.Set(platform.HeaderAttemptID, q.Header.Get(platform.HeaderAttemptID))
	if r.misdirected(q) {
		h.Set(platform.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	rng := rand.New(rand.NewPCG(r.seed, r.served.Add(1)))
	h.Set(platform.HeaderSeal, r.Instance+"."+strconv.FormatUint(r.served.Load(), 10))
	h.Set(platform.HeaderWeightVersions, strconv.FormatUint(r.WeightVersion, 10))
	h.Set("Content-Type", contentType(q))
	events := r.events(q, h.Get(platform.HeaderSeal))
	fault := r.drawFault(rng, q)
	if r.onRun != nil && fault != rejectFault {
		r.onRun(ReplicaRun{Replica: r, Request: q, Body: body, Faulty: fault != noFault})
	}
	switch fault {
	case noFault:
		r.writeStream(w, rng, events)
	case rejectFault:
		h.Set(platform.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case truncateFramedFault:
		if len(events) > 0 {
			cut := rng.IntN(len(events))
			events = append(events[:cut:cut], events[cut][:1+rng.IntN(len(events[cut])-2)])
		}
		r.writeStream(w, rng, events)
	default:
		r.writeFaulty(w, rng, fault, events)
	}
}

// isPlain reports whether a request is for a response that is not a stream.
func isPlain(q *http.Request) bool {
	return strings.HasPrefix(q.URL.Path, plainPath) || strings.HasPrefix(q.URL.Path, changingPlainPath)
}

func contentType(q *http.Request) string {
	if isPlain(q) {
		return "text/plain"
	}
	return "text/event-stream"
}

// drawFault draws the fault of a response. A response that is not a stream is never truncated with proper framing, because no node or client can
// detect that.
func (r *Replica) drawFault(rng *rand.Rand, q *http.Request) responseFault {
	fault := r.faults.draw(rng)
	if fault == truncateFramedFault && isPlain(q) {
		return noFault
	}
	return fault
}

// misdirected reports whether a request is addressed to another instance or expects other weights.
func (r *Replica) misdirected(q *http.Request) bool {
	target, expected := q.Header.Get(platform.HeaderTargetInstance), q.Header.Get(platform.HeaderExpectedVersion)
	return target != "" && target != r.Instance || expected != "" && expected != strconv.FormatUint(r.WeightVersion, 10)
}

// events returns the events of the response to q. They start after the last event that the request names, if any.
func (r *Replica) events(q *http.Request, run string) []string {
	_, total := platform.ParseTokens(q.Header.Get(platform.HeaderTokenUsage))
	after, _ := strconv.Atoi(q.Header.Get(platform.HeaderLastEventID))
	var events []string
	for id := after + 1; id <= total; id++ {
		events = append(events, fmt.Sprintf("id: %d\ndata: %s\n\n", id, ledger.StreamText(q.Header.Get(headerRequest), r.WeightVersion, run, id)))
	}
	return events
}

// writeStream writes the events one by one and ends the response with proper framing.
func (*Replica) writeStream(w http.ResponseWriter, rng *rand.Rand, events []string) {
	w.WriteHeader(http.StatusOK)
	ctl := http.NewResponseController(w)
	for _, e := range events {
		if _, err := io.WriteString(w, e); err != nil || ctl.Flush() != nil {
			return
		}
		pause(rng)
	}
}

// writeFaulty writes a response to the raw connection and injects a fault: it writes nothing, stops after a random byte, or writes the response twice.
func (*Replica) writeFaulty(w http.ResponseWriter, rng *rand.Rand, fault responseFault, events []string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if tcp, ok := conn.(*net.TCPConn); ok && (fault == resetFault || fault == truncateResetFault) {
		_ = tcp.SetLinger(0)
	}
	if fault == resetFault {
		return
	}
	response := rawResponse(w.Header(), events)
	left := rng.IntN(len(response))
	if fault == duplicateFault {
		response = append(response, response...)
		left = len(response)
	}
	for left > 0 {
		n := min(1+rng.IntN(120), left)
		if _, err := conn.Write(response[:n]); err != nil {
			return
		}
		response, left = response[n:], left-n
		pause(rng)
	}
}

// rawResponse returns a response in chunked encoding, as it is sent on the wire.
func rawResponse(h http.Header, events []string) []byte {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n")
	_ = h.Write(&b)
	b.WriteString("\r\n")
	for _, e := range events {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(e), e)
	}
	b.WriteString("0\r\n\r\n")
	return b.Bytes()
}

// lifecycleState returns the state of the replica as the platform's list names it.
func (r *Replica) lifecycleState() string {
	if r.draining.Load() {
		return "draining"
	}
	return "ready"
}

// instanceName returns the instance id of the n-th replica that a rehearsal starts.
func instanceName(n int) string { return "i-" + strconv.Itoa(n) }
