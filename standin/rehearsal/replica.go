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

// headerRequest names a request over all its tries; nodes pass it on like any header that they don't know.
const headerRequest = "X-Rehearsal-Request"

// Replica is one incarnation of a stand-in model replica that speaks the platform's protocol.
type Replica struct {
	Instance string
	Addr     string
	Weights  uint64
	faults   Faults
	draining atomic.Bool
	server   *http.Server
	seed     uint64
	served   atomic.Uint64
	// zone is where it runs, as listed.
	zone string
	// stoppedAt is when it was stopped, in milliseconds since 1970; 0: it runs.
	stoppedAt atomic.Int64
	// ran, if any, sees each request that the replica begins to run.
	ran func(run ReplicaRun)
}

// ReplicaRun is a request that a replica begins to run. Spoiled tells that the replica is going to end the answer wrongly.
type ReplicaRun struct {
	Replica *Replica
	Request *http.Request
	Body    []byte
	Spoiled bool
}

// eventPause is the longest pause between two events.
const eventPause = 6 * time.Millisecond

func pause(rng *rand.Rand) { time.Sleep(time.Duration(rng.Int64N(int64(eventPause)))) }

// StartReplica serves on a free port of the loopback interface until Stop; ran, if any, sees each request that it begins to run.
func StartReplica(instance string, weights, seed uint64, faults Faults, ran func(run ReplicaRun)) (*Replica, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Replica{Instance: instance, Addr: lis.Addr().String(), Weights: weights, faults: faults, seed: seed, ran: ran}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = r.server.Serve(lis) }()
	return r, nil
}

// Stop ends the replica and all its connections at once.
func (r *Replica) Stop() {
	r.stoppedAt.CompareAndSwap(0, time.Now().UnixMilli())
	_ = r.server.Close()
}

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
	h.Set(platform.HeaderWeightVersions, strconv.FormatUint(r.Weights, 10))
	h.Set("Content-Type", contentType(q))
	events := r.events(q, h.Get(platform.HeaderSeal))
	kind := r.drawFault(rng, q)
	if r.ran != nil && kind != refuse {
		r.ran(ReplicaRun{Replica: r, Request: q, Body: body, Spoiled: kind != sound})
	}
	switch kind {
	case sound:
		r.stream(w, rng, events)
	case refuse:
		h.Set(platform.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case cutFramed:
		if len(events) > 0 {
			cut := rng.IntN(len(events))
			events = append(events[:cut:cut], events[cut][:1+rng.IntN(len(events[cut])-2)])
		}
		r.stream(w, rng, events)
	default:
		r.spoil(w, rng, kind, events)
	}
}

// isPlain tells whether a request is for an answer that is no stream.
func isPlain(q *http.Request) bool {
	return strings.HasPrefix(q.URL.Path, plainPath) || strings.HasPrefix(q.URL.Path, turningPlainPath)
}

func contentType(q *http.Request) string {
	if isPlain(q) {
		return "text/plain"
	}
	return "text/event-stream"
}

// drawFault draws what happens to an answer. Of one that is no stream nobody can see that it ends too early with proper framing.
func (r *Replica) drawFault(rng *rand.Rand, q *http.Request) fault {
	kind := r.faults.draw(rng)
	if kind == cutFramed && isPlain(q) {
		return sound
	}
	return kind
}

// misdirected tells whether the request is for another instance, or for other weights.
func (r *Replica) misdirected(q *http.Request) bool {
	target, expected := q.Header.Get(platform.HeaderTargetInstance), q.Header.Get(platform.HeaderExpectedVersion)
	return target != "" && target != r.Instance || expected != "" && expected != strconv.FormatUint(r.Weights, 10)
}

// events are those of the answer behind the one that the request names, if any.
func (r *Replica) events(q *http.Request, run string) []string {
	_, total := platform.ParseTokens(q.Header.Get(platform.HeaderTokenUsage))
	after, _ := strconv.Atoi(q.Header.Get(platform.HeaderLastEventID))
	var events []string
	for id := after + 1; id <= total; id++ {
		events = append(events, fmt.Sprintf("id: %d\ndata: %s\n\n", id, ledger.StreamText(q.Header.Get(headerRequest), r.Weights, run, id)))
	}
	return events
}

// stream writes the events one by one and ends the answer with proper framing.
func (*Replica) stream(w http.ResponseWriter, rng *rand.Rand, events []string) {
	w.WriteHeader(http.StatusOK)
	ctl := http.NewResponseController(w)
	for _, e := range events {
		if _, err := io.WriteString(w, e); err != nil || ctl.Flush() != nil {
			return
		}
		pause(rng)
	}
}

// spoil writes the bytes of the answer itself: up to any of them, or twice.
func (*Replica) spoil(w http.ResponseWriter, rng *rand.Rand, kind fault, events []string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if tcp, ok := conn.(*net.TCPConn); ok && (kind == vanish || kind == cutReset) {
		_ = tcp.SetLinger(0)
	}
	if kind == vanish {
		return
	}
	answer := rawAnswer(w.Header(), events)
	left := rng.IntN(len(answer))
	if kind == surplus {
		answer = append(answer, answer...)
		left = len(answer)
	}
	for left > 0 {
		n := min(1+rng.IntN(120), left)
		if _, err := conn.Write(answer[:n]); err != nil {
			return
		}
		answer, left = answer[n:], left-n
		pause(rng)
	}
}

// rawAnswer is an answer in chunks, as it stands on the wire.
func rawAnswer(h http.Header, events []string) []byte {
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

// state names the state of a replica as the platform's list does.
func (r *Replica) state() string {
	if r.draining.Load() {
		return "draining"
	}
	return "ready"
}

// instanceName names the n-th replica that a rehearsal starts.
func instanceName(n int) string { return "i-" + strconv.Itoa(n) }
