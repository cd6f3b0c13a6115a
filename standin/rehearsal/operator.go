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
	// callTimeout bounds one call of an operator.
	callTimeout = 2 * time.Second
	// maxRetryPause bounds the pause between two attempts of a call.
	maxRetryPause = 60 * time.Millisecond
)

// operators change the configuration and read it, through random nodes.
type operators struct {
	controls []string
	seed     uint64
	// acknowledged is the newest revision that a node has acknowledged.
	acknowledged atomic.Uint64
	breaches     chan ledger.Breach
	reads        atomic.Uint64
	// documents yields the documents that are put.
	documents documentSource
}

// documentSource yields the documents that operators put, one after the other.
type documentSource interface {
	// next returns the document of a revision and how long to wait before it is put.
	next(revision uint64) (string, time.Duration)
	// acknowledged is called when a revision was acknowledged.
	acknowledged(revision uint64)
}

// unchangedRoutes is a documentSource whose documents differ only in the revision.
type unchangedRoutes struct{ rng *rand.Rand }

func (s unchangedRoutes) next(revision uint64) (string, time.Duration) {
	return configuration(revision, nil), time.Duration(s.rng.IntN(60)) * time.Millisecond
}

func (unchangedRoutes) acknowledged(uint64) {}

// readerCount is the number of operators that read concurrently.
const readerCount = 3

// run changes and reads the configuration until the end.
func (o *operators) run(end time.Time) {
	var all sync.WaitGroup
	all.Go(func() { o.write(end) })
	for n := range uint64(readerCount) {
		all.Go(func() { o.read(end, rand.New(rand.NewPCG(o.seed, operatorStream+1+n))) })
	}
	all.Wait()
	close(o.breaches)
}

// write puts one revision after another. A call without a conclusive response is repeated unchanged at another node.
func (o *operators) write(end time.Time) {
	rng := rand.New(rand.NewPCG(o.seed, operatorStream))
	for revision := o.acknowledged.Load() + 1; time.Now().Before(end); revision++ {
		document, pause := o.documents.next(revision)
		time.Sleep(pause)
		if !o.put(rng, end, revision, document) {
			return
		}
		o.acknowledged.Store(revision)
		o.documents.acknowledged(revision)
	}
}

// put sends a document until a node accepts it. It returns false if the document is rejected or the end has come.
func (o *operators) put(rng *rand.Rand, end time.Time, revision uint64, document string) bool {
	for time.Now().Before(end) {
		status, body := putConfiguration(o.controls[rng.IntN(len(o.controls))], revision, document)
		switch status {
		case http.StatusOK:
			return true
		case http.StatusPreconditionFailed, http.StatusBadRequest:
			o.breaches <- ledger.Breach{Kind: ledger.OperatorRequestRejected, Request: strconv.FormatUint(revision, 10), Detail: body}
			return false
		}
		time.Sleep(time.Duration(rng.IntN(int(maxRetryPause))))
	}
	return false
}

// read checks that no read returns an older revision than those that were acknowledged, or that it had read, before it sent the request.
func (o *operators) read(end time.Time, rng *rand.Rand) {
	var newest uint64
	for time.Now().Before(end) {
		time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
		control := o.controls[rng.IntN(len(o.controls))]
		floor := max(newest, o.acknowledged.Load())
		revision, known := getRevision(control)
		if !known {
			continue
		}
		o.reads.Add(1)
		if revision < floor {
			o.breaches <- ledger.Breach{Kind: ledger.RevisionRegressed, Request: control, Detail: fmt.Sprintf("read revision %d after revision %d", revision, floor)}
		}
		newest = max(newest, revision)
	}
}

// putConfiguration puts the document of a revision, on condition that the previous revision is the current one. It returns the status and the body of
// the response, or status 0 and the error if there was no response.
func putConfiguration(control string, revision uint64, document string) (int, string) {
	req, err := http.NewRequest(http.MethodPut, "http://"+control+"/configuration", strings.NewReader(document))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("If-Match", strconv.FormatUint(revision-1, 10))
	resp, err := (&http.Client{Timeout: callTimeout}).Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// getRevision reads the current revision of the configuration from a node. It returns false if the node does not return it.
func getRevision(control string) (uint64, bool) {
	resp, err := (&http.Client{Timeout: callTimeout}).Get("http://" + control + "/configuration")
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
