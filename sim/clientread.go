package sim

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// readHead handles the head of a response. A successful one must carry a seal, the id of the run.
func (c *clientAttempt) readHead(h responseHead) {
	c.head = &h
	if h.status/100 == 2 && h.seal == "" {
		c.fault = "a successful response without a seal"
	}
}

func (c *clientAttempt) readData(data []byte) {
	q := c.request
	c.unparsed = append(c.unparsed, data...)
	if !q.class.Streaming {
		return
	}
	for {
		at := bytes.Index(c.unparsed, []byte("\n\n"))
		if at < 0 {
			return
		}
		c.readEvent(string(c.unparsed[:at]))
		c.unparsed = c.unparsed[at+2:]
	}
}

// readEvent checks that an event belongs to the request and follows the one before.
func (c *clientAttempt) readEvent(text string) {
	q := c.request
	now := q.s.w.Now
	var n, events int
	var id, run string
	if _, err := fmt.Sscanf(text, "id: %d\ndata: %s %s %d", &n, &id, &run, &events); err != nil || id != q.id {
		c.fault = "an event of another response: " + strconv.Quote(text)
		return
	}
	if n != q.lastEvent+1 {
		c.fault = fmt.Sprintf("event %d follows event %d", n, q.lastEvent)
	}
	if c.runID != "" && c.runID != run && !q.class.Resumable {
		c.fault = "a stream that may not be resumed has events of two runs: " + c.runID + " and " + run
	}
	if q.firstEventAt == 0 {
		q.firstEventAt = now
	} else {
		q.longestGap = max(q.longestGap, now-q.lastEventAt)
	}
	c.runID, q.lastEvent, q.lastEventAt = run, n, now
	q.s.rules.eventForwarded(c, n)
}

// responseEnded handles the end of a complete response, from a replica or from the node itself.
func (c *clientAttempt) responseEnded(status int, retryAfter time.Duration) {
	c.finished, c.status = true, status
	q := c.request
	if status == http.StatusOK && c.head != nil && c.head.status == http.StatusOK {
		switch {
		case q.class.Streaming && (q.lastEvent != q.events || len(c.unparsed) > 0):
			c.fault = fmt.Sprintf("the stream ends as complete after %d of %d events", q.lastEvent, q.events)
		case !q.class.Streaming && string(c.unparsed) != string(q.responseData(1, c.head.seal)):
			c.fault = "the body of another response: " + strconv.Quote(string(c.unparsed))
		}
		if q.firstEventAt == 0 {
			q.firstEventAt = q.s.w.Now
		}
		q.s.rules.attemptEnded(c, "done")
		q.done(c.fault == "")
		return
	}
	if status == http.StatusOK {
		status = c.head.status
	}
	q.s.rules.attemptEnded(c, strconv.Itoa(status))
	q.retryOrFail(c, retryAfter, status == http.StatusServiceUnavailable)
}

// connectionLost handles a connection that ended before the response did.
func (c *clientAttempt) connectionLost() {
	if c.finished {
		return
	}
	c.finished = true
	q := c.request
	q.s.rules.attemptEnded(c, "cut")
	q.retryOrFail(c, 0, !c.accepted)
}
