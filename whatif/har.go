package whatif

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/chromedp/cdproto/har"
	"github.com/gravitational/trace"

	"github.com/mallowbridge/mallowbridge/prefixindex"
	"github.com/mallowbridge/mallowbridge/sim/workload"
)

// errNoHAR is the cause of the *FileError for a file that is not JSON or has no log.
var errNoHAR = errors.New("not a HAR file")

// bytesPerToken is the assumed number of bytes of a request body per prompt token.
const bytesPerToken = 4

// ReadHAR reads the requests of these classes from a HAR file, ordered by time; At is relative to the earliest one. unused names the entries
// that cannot be used, each with the reason. The error is a *FileError.
func ReadHAR(path string, classes []workload.ClassLoad) (requests []workload.Request, unused []string, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, trace.Wrap(&FileError{Path: path, Cause: err})
	}
	var file har.HAR
	if err = json.Unmarshal(raw, &file); err != nil || file.Log == nil {
		return nil, nil, trace.Wrap(&FileError{Path: path, Cause: errNoHAR})
	}
	var start time.Time
	for i, e := range file.Log.Entries {
		at, request, reason := readEntry(e, classes)
		if reason != "" {
			unused = append(unused, fmt.Sprintf("entry %d: %s", i, reason))
			continue
		}
		if start.IsZero() || at.Before(start) {
			start = at
		}
		request.At = time.Duration(at.UnixNano())
		request.ID = fmt.Sprintf("har-%d", i)
		requests = append(requests, request)
	}
	for i := range requests {
		requests[i].At -= time.Duration(start.UnixNano())
	}
	slices.SortStableFunc(requests, func(a, b workload.Request) int { return int(a.At - b.At) })
	return requests, unused, nil
}

// readEntry returns the start time and the request of an entry, or the reason why the entry cannot be used.
func readEntry(e *har.Entry, classes []workload.ClassLoad) (time.Time, workload.Request, string) {
	var r workload.Request
	var at time.Time
	if e == nil || e.Request == nil {
		return at, r, "has no request"
	}
	if e.Request.Method != http.MethodPost {
		return at, r, "method is " + e.Request.Method
	}
	u, err := url.Parse(e.Request.URL)
	if err != nil {
		return at, r, "URL is invalid: " + e.Request.URL
	}
	f := strings.Split(strings.Trim(u.Path, "/"), "/")
	if len(f) != 4 || f[0] != "v1" || f[1] != "offers" {
		return at, r, "path is not /v1/offers/SERVICE/CLASS: " + u.Path
	}
	class := slices.IndexFunc(classes, func(c workload.ClassLoad) bool { return c.Service == f[2] && c.Name == f[3] })
	if class < 0 {
		return at, r, "no such offer and kind: " + f[2] + "/" + f[3]
	}
	if at, err = time.Parse(time.RFC3339, e.StartedDateTime); err != nil {
		return at, r, "startedDateTime is not an RFC 3339 time: " + e.StartedDateTime
	}
	r.Class, r.TailTokens = classes[class], int(max(e.Request.BodySize, 0))/bytesPerToken
	for _, h := range e.Request.Headers {
		if h != nil && strings.EqualFold(h.Name, "X-Prompt-Prefix") {
			r.Prefix = h.Value
		}
	}
	if _, err = prefixindex.Parse("", r.Prefix); err != nil {
		return at, r, err.Error()
	}
	return at, r, ""
}
