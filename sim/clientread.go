package sim

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

func (c *clientAttempt) heads(h head) {
	c.h = &h
	if h.status/100 == 2 && h.seal == "" {
		c.fault = "a success without a seal"
	}
}

func (c *clientAttempt) reads(data []byte) {
	q := c.request
	c.text = append(c.text, data...)
	if !q.class.Streaming {
		return
	}
	for {
		at := bytes.Index(c.text, []byte("\n\n"))
		if at < 0 {
			return
		}
		c.event(string(c.text[:at]))
		c.text = c.text[at+2:]
	}
}

func (c *clientAttempt) event(text string) {
	q := c.request
	now := q.s.w.Now
	var n, events int
	var id, run string
	if _, err := fmt.Sscanf(text, "id: %d\ndata: %s %s %d", &n, &id, &run, &events); err != nil || id != q.id {
		c.fault = "an event of another answer: " + strconv.Quote(text)
		return
	}
	if n != q.last+1 {
		c.fault = fmt.Sprintf("event %d after %d", n, q.last)
	}
	if c.run != "" && c.run != run && !q.class.Resumable {
		c.fault = "events of two runs: " + c.run + " and " + run
	}
	if q.first == 0 {
		q.first = now
	} else {
		q.gap = max(q.gap, now-q.lastEventAt)
	}
	c.run, q.last, q.lastEventAt = run, n, now
	q.s.rules.passed(c, n)
}

// ended is a complete answer, of a replica or of the node itself.
func (c *clientAttempt) ended(status int, after time.Duration) {
	c.over, c.status = true, status
	q := c.request
	if status == http.StatusOK && c.h != nil && c.h.status == http.StatusOK {
		switch {
		case q.class.Streaming && (q.last != q.events || len(c.text) > 0):
			c.fault = fmt.Sprintf("ends as complete after %d of %d events", q.last, q.events)
		case !q.class.Streaming && string(c.text) != string(q.data(1, c.h.seal)):
			c.fault = "another body: " + strconv.Quote(string(c.text))
		}
		if q.first == 0 {
			q.first = q.s.w.Now
		}
		q.s.rules.ended(c, "done")
		q.done(c.fault == "")
		return
	}
	if status == http.StatusOK {
		status = c.h.status
	}
	q.s.rules.ended(c, strconv.Itoa(status))
	q.failed(c, after, status == http.StatusServiceUnavailable)
}

// disconnected is a connection that ends before the answer does.
func (c *clientAttempt) disconnected() {
	if c.over {
		return
	}
	c.over = true
	q := c.request
	q.s.rules.ended(c, "cut")
	q.failed(c, 0, !c.read)
}
