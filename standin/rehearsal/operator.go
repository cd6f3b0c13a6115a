package rehearsal

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mallowbridge/mallowbridge/ledger"
)

const (
	// callTime bounds one call of an operator.
	callTime = 2 * time.Second
	// putPause bounds the pause between two tries of one call.
	putPause = 60 * time.Millisecond
)

// operators change the configuration and read it, at any node.
type operators struct {
	controls []string
	seed     uint64
	// acknowledged is the newest revision that a node has acknowledged.
	acknowledged atomic.Uint64
	breaches     chan ledger.Breach
	reads        atomic.Uint64
	// changes are what is put.
	changes changes
}

// changes are the documents that operators put, one after the other.
type changes interface {
	// next gives the document of a revision, and how long to wait before it is put.
	next(revision uint64) (string, time.Duration)
	// taken hears that the revision was acknowledged.
	taken(revision uint64)
}

// sameRoutes changes nothing but the revision.
type sameRoutes struct{ rng *rand.Rand }

func (s sameRoutes) next(revision uint64) (string, time.Duration) {
	return configuration(revision, nil), time.Duration(s.rng.IntN(60)) * time.Millisecond
}

func (sameRoutes) taken(uint64) {}

// readers is how many operators read at once.
const readers = 3

// run changes and reads until the end.
func (o *operators) run(end time.Time) {
	var all sync.WaitGroup
	all.Go(func() { o.write(end) })
	for n := range uint64(readers) {
		all.Go(func() { o.read(end, rand.New(rand.NewPCG(o.seed, operatorCalls+1+n))) })
	}
	all.Wait()
	close(o.breaches)
}

// write puts one revision after the other; a call without a clear answer is sent again as it was, to another node.
func (o *operators) write(end time.Time) {
	rng := rand.New(rand.NewPCG(o.seed, operatorCalls))
	for revision := o.acknowledged.Load() + 1; time.Now().Before(end); revision++ {
		document, pause := o.changes.next(revision)
		time.Sleep(pause)
		if !o.put(rng, end, revision, document) {
			return
		}
		o.acknowledged.Store(revision)
		o.changes.taken(revision)
	}
}

// put sends a document until it is taken; false where it is refused, or the end has come.
func (o *operators) put(rng *rand.Rand, end time.Time, revision uint64, document string) bool {
	for time.Now().Before(end) {
		status, said := put(o.controls[rng.IntN(len(o.controls))], revision, document)
		switch status {
		case http.StatusOK:
			return true
		case http.StatusPreconditionFailed, http.StatusBadRequest:
			o.breaches <- ledger.Breach{Kind: ledger.OperatorRequestRejected, Request: strconv.FormatUint(revision, 10), Detail: said}
			return false
		}
		time.Sleep(time.Duration(rng.IntN(int(putPause))))
	}
	return false
}

// read holds each answer against what was acknowledged, and what was read, before it was asked for.
func (o *operators) read(end time.Time, rng *rand.Rand) {
	var newest uint64
	for time.Now().Before(end) {
		time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
		control := o.controls[rng.IntN(len(o.controls))]
		floor := max(newest, o.acknowledged.Load())
		revision, known := get(control)
		if !known {
			continue
		}
		o.reads.Add(1)
		if revision < floor {
			o.breaches <- ledger.Breach{Kind: ledger.RevisionRegressed, Request: control, Detail: fmt.Sprintf("revision %d, after %d", revision, floor)}
		}
		newest = max(newest, revision)
	}
}

// put sends the document of a revision on top of the one before; status 0 where there was no answer.
func put(control string, revision uint64, document string) (int, string) {
	req, err := http.NewRequest(http.MethodPut, "http://"+control+"/configuration", strings.NewReader(document))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("If-Match", strconv.FormatUint(revision-1, 10))
	resp, err := (&http.Client{Timeout: callTime}).Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	said, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(said)
}

// get reads the revision of the configuration; false where the node does not tell it.
func get(control string) (uint64, bool) {
	resp, err := (&http.Client{Timeout: callTime}).Get("http://" + control + "/configuration")
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	var document struct {
		Revision uint64 `json:"revision"`
	}
	err = json.NewDecoder(resp.Body).Decode(&document)
	return document.Revision, err == nil && resp.StatusCode == http.StatusOK
}
