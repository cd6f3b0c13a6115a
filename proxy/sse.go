package proxy

import (
	"bytes"
	"strconv"
)

// EventTooLongError reports that an event of a stream is longer than the limit or the memory budget allows.
type EventTooLongError struct{ Bytes int }

func (e *EventTooLongError) Error() string {
	return "event longer than " + strconv.Itoa(e.Bytes) + " bytes"
}

// EventStream splits a response into server-sent events and tracks which ones the client has, across the responses of several replicas.
// Lines may end in CR LF, LF or CR.
type EventStream struct {
	// LastID is the id of the newest event that was delivered or that the client already had.
	LastID string
	// MaxEventBytes is the maximum size of an event.
	MaxEventBytes int
	// VersionField is the name of the event field that changes the weights version from that event on; empty means that there is none.
	VersionField string
	// CannotResume is set if the newest event delivered has no id or one that is not a number: the stream can't be resumed after it.
	CannotResume bool
	// newLastID is the LastID after the current call of Feed.
	newLastID  []byte
	continuity continuity
	// buf contains the bytes that were not delivered yet: eventStart is where the current event begins and parsed where its unparsed part
	// begins.
	buf        []byte
	parsed     int
	eventStart int
	// endsInCR is set if the last line ended in a CR that is the last byte received so far, loneCR if it ended in a CR without an LF.
	endsInCR, loneCR bool
	// eventID is the id of the event being parsed, and eventHasField whether the event has any field, unlike a comment.
	eventID       []byte
	eventHasID    bool
	eventHasField bool
}

// Feed parses the next bytes of the response and returns the new events that they complete. The result is valid until the next call. The
// events returned along with an error must be forwarded too, as LastID includes them.
func (e *EventStream) Feed(p []byte) ([]byte, error) {
	e.buf = append(e.buf[:copy(e.buf, e.buf[e.eventStart:])], p...)
	e.parsed, e.eventStart = e.parsed-e.eventStart, 0
	out := e.buf[:0]
	e.newLastID = e.newLastID[:0]
	var err error
	for err == nil && e.parsed < len(e.buf) {
		if e.skipLFAfterCR() {
			continue
		}
		line, ok := e.nextLine()
		if !ok {
			break
		}
		if len(line) > 0 {
			e.parseField(line)
			continue
		}
		out, err = e.finishEvent(out)
	}
	if len(e.newLastID) > 0 {
		e.LastID = string(e.newLastID)
	}
	if err == nil && len(e.buf)-e.eventStart > e.MaxEventBytes {
		err = &EventTooLongError{Bytes: e.MaxEventBytes}
	}
	return out, err
}

// skipLFAfterCR skips an LF that belongs to the CR before it.
func (e *EventStream) skipLFAfterCR() bool {
	after := e.endsInCR && e.buf[e.parsed] == '\n'
	e.endsInCR = false
	if after {
		e.loneCR = false
		e.parsed++
	}
	return after
}

// finishEvent appends the event that an empty line just ended to out if the client doesn't have it yet.
func (e *EventStream) finishEvent(out []byte) ([]byte, error) {
	if err := e.checkContinuity(); err != nil {
		return out, err
	}
	if e.isNew() {
		out = append(out, e.buf[e.eventStart:e.parsed]...)
		e.recordDelivery()
	}
	e.eventStart, e.eventHasID, e.eventHasField, e.continuity.namesWeights = e.parsed, false, false, false
	return out, nil
}

// nextLine returns the next complete line without its line end. A CR that is the last byte so far ends a line only if the previous line
// ended in a lone CR too. Otherwise an LF probably follows, and delivering the event before it would cut a line end in two.
func (e *EventStream) nextLine() ([]byte, bool) {
	line, _, found := bytes.Cut(e.buf[e.parsed:], []byte{'\n'})
	if n := bytes.IndexByte(line, '\r'); n >= 0 {
		line, found = line[:n], true
	}
	if !found {
		return nil, false
	}
	end := e.parsed + len(line) + 1
	if e.buf[end-1] != '\r' {
		e.parsed, e.loneCR = end, false
		return line, true
	}
	if e.endsInCR = end == len(e.buf); e.endsInCR && !e.loneCR {
		e.endsInCR = false
		return nil, false
	}
	if e.loneCR = e.endsInCR || e.buf[end] != '\n'; !e.loneCR {
		end++
	}
	e.parsed = end
	return line, true
}

// Remaining returns the bytes after the last complete event.
func (e *EventStream) Remaining() []byte { return e.buf[e.eventStart:] }

// HasPartialEvent reports whether the remaining bytes begin another event, so that a stream which ends there is incomplete. Comments and
// empty lines are not events.
func (e *EventStream) HasPartialEvent() bool {
	unread := bytes.TrimLeft(e.buf[e.parsed:], "\r\n")
	return e.eventHasField || (len(unread) > 0 && unread[0] != ':')
}

func (e *EventStream) parseField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	e.eventHasField = e.eventHasField || len(name) > 0
	if string(name) == "id" {
		e.eventID = append(e.eventID[:0], bytes.TrimPrefix(value, []byte{' '})...)
		e.eventHasID = len(e.eventID) > 0
	}
	if len(name) > 0 && string(name) == e.VersionField {
		e.continuity.setCurrentWeights(string(bytes.TrimSpace(value)))
	}
}
