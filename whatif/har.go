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

var errNoHAR = errors.New("is no HAR file")

// bytesPerToken reckons the tokens of a body.
const bytesPerToken = 4

// ReadHAR reads the requests of a recorded HAR file that were made of these kinds, at their own times from the first. unused names the
// entries that cannot be used and why; the error is a *FileError.
func ReadHAR(path string, classes []workload.ClassLoad) (asks []workload.Request, unused []string, err error) {
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
		at, ask, why := entry(e, classes)
		if why != "" {
			unused = append(unused, fmt.Sprintf("entry %d: %s", i, why))
			continue
		}
		if start.IsZero() || at.Before(start) {
			start = at
		}
		ask.At = time.Duration(at.UnixNano())
		ask.ID = fmt.Sprintf("har-%d", i)
		asks = append(asks, ask)
	}
	for i := range asks {
		asks[i].At -= time.Duration(start.UnixNano())
	}
	slices.SortStableFunc(asks, func(a, b workload.Request) int { return int(a.At - b.At) })
	return asks, unused, nil
}

// entry reads one request, or says why it cannot be used.
func entry(e *har.Entry, classes []workload.ClassLoad) (time.Time, workload.Request, string) {
	var a workload.Request
	var at time.Time
	if e == nil || e.Request == nil {
		return at, a, "has no request"
	}
	if e.Request.Method != http.MethodPost {
		return at, a, "method is " + e.Request.Method
	}
	u, err := url.Parse(e.Request.URL)
	if err != nil {
		return at, a, "URL cannot be read"
	}
	f := strings.Split(strings.Trim(u.Path, "/"), "/")
	if len(f) != 4 || f[0] != "v1" || f[1] != "offers" {
		return at, a, "path is " + u.Path
	}
	k := slices.IndexFunc(classes, func(k workload.ClassLoad) bool { return k.Service == f[2] && k.Name == f[3] })
	if k < 0 {
		return at, a, "no such offer and kind: " + f[2] + "/" + f[3]
	}
	if at, err = time.Parse(time.RFC3339, e.StartedDateTime); err != nil {
		return at, a, "start is " + e.StartedDateTime
	}
	a.Class, a.TailTokens = classes[k], int(max(e.Request.BodySize, 0))/bytesPerToken
	for _, h := range e.Request.Headers {
		if h != nil && strings.EqualFold(h.Name, "X-Prompt-Prefix") {
			a.Prefix = h.Value
		}
	}
	if _, err = prefixindex.Parse("", a.Prefix); err != nil {
		return at, a, err.Error()
	}
	return at, a, ""
}
