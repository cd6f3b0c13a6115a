package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// behavior is how a replica works: how long a plain request takes, how many events a stream has, and the pause between them.
type behavior struct {
	work   time.Duration
	events int
	pause  time.Duration
}

// execution is one run of a request at a replica.
type execution struct {
	at                                time.Time
	instance, attempt, line, from, id string
	body                              string
	bytes                             int
	ended                             time.Time
	whole                             bool
}

// replica stands in for a model replica that is sound.
type replica struct {
	record                           *record
	instance, service, zone, address string
	behavior                         behavior
	server                           *http.Server
	gone                             atomic.Bool
	cold                             atomic.Int64
	lock                             sync.Mutex
	runs                             []*execution
}

// streamPath begins the path of requests that are answered with a stream of events.
const streamPath = "/stream/"

func (r *replica) coldUntil() time.Time { return time.UnixMilli(r.cold.Load()) }

// crash ends the replica at once; the platform lists it for two seconds more.
func (r *replica) crash() {
	r.record.say("replica %s crashes", r.instance)
	_ = r.server.Close()
	time.AfterFunc(2*time.Second, func() { r.gone.Store(true) })
}

// all gives the runs so far.
func (r *replica) all() []execution {
	r.lock.Lock()
	defer r.lock.Unlock()
	var runs []execution
	for _, one := range r.runs {
		runs = append(runs, *one)
	}
	return runs
}

func sum(body []byte) string {
	hash := sha256.Sum256(body)
	return hex.EncodeToString(hash[:8])
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	h := w.Header()
	if q.Method == http.MethodGet {
		h.Set("X-Instance-Id", r.instance)
		return
	}
	attempt := q.Header.Get("X-Request-Attempt-Id")
	h.Set("X-Request-Attempt-Id", attempt)
	if target := q.Header.Get("X-Target-Instance"); target != "" && target != r.instance {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	one := &execution{
		at: time.Now(), instance: r.instance, attempt: attempt, line: q.Method + " " + q.RequestURI, from: q.Header.Get("Last-Event-Id"),
		body: sum(body), bytes: len(body), id: q.Header.Get("X-Model") + "|" + q.Header.Get("X-Token-Usage") + "|" + q.Header.Get("X-Prompt-Prefix"),
	}
	r.lock.Lock()
	r.runs = append(r.runs, one)
	r.lock.Unlock()
	r.record.say("replica %s runs %s: %s, %d bytes %s, Last-Event-Id %q", r.instance, attempt, one.line, one.bytes, one.body, one.from)
	h.Set("X-Replica-Seal", r.instance+"."+attempt)
	whole := false
	if strings.HasPrefix(q.URL.Path, streamPath) {
		whole = r.stream(w, q, one)
	} else {
		whole = r.plain(w, q)
	}
	r.lock.Lock()
	one.ended, one.whole = time.Now(), whole
	r.lock.Unlock()
	r.record.say("replica %s ends %s, whole: %v", r.instance, attempt, whole)
}

// plain works for a while and answers 800 bytes; a replica drops a request whose connection closes.
func (r *replica) plain(w http.ResponseWriter, q *http.Request) bool {
	select {
	case <-q.Context().Done():
		return false
	case <-time.After(r.behavior.work):
	}
	answer := strings.Repeat("x", 800)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, err := io.WriteString(w, answer)
	return err == nil
}

func (r *replica) stream(w http.ResponseWriter, q *http.Request, one *execution) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	ctl := http.NewResponseController(w)
	after, _ := strconv.Atoi(one.from)
	for id := after + 1; id <= r.behavior.events; id++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s made of body %s\n\n", id, r.instance, one.body); err != nil || ctl.Flush() != nil {
			return false
		}
		select {
		case <-q.Context().Done():
			return false
		case <-time.After(r.behavior.pause):
		}
	}
	return true
}
