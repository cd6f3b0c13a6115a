package proxy

import (
	"bytes"
	"strconv"
)

// EventTooLongError says that an event of a stream is longer than the bound.
type EventTooLongError struct{ Bytes int }

func (e *EventTooLongError) Error() string {
	return "event of over " + strconv.Itoa(e.Bytes) + " bytes"
}

// EventStream cuts a stream into whole events; lines may end in CR LF, LF or CR.
type EventStream struct {
	// LastID is the id of the newest event given out, or that the client had seen before.
	LastID        string
	MaxEventBytes int
	// VersionField names the line with which an event tells the version of the weights from there on; empty: none does.
	VersionField string
	// CannotResume tells that the newest event given out has no id, or one that is no number: the stream cannot be resumed from there.
	CannotResume bool
	// last becomes Last.
	last  []byte
	run   continuity
	buf   []byte
	seen  int
	start int
	// cr tells that the last line ended in a CR at the end of what has come, lone that a CR alone ended it.
	cr, lone bool
	id       []byte
	hasID    bool
	plain    bool
}

// Feed takes bytes of the stream and gives the whole events among them that are new; the result is valid until the next call. What it gives
// along with an error is to be passed on all the same: Last counts it.
func (e *EventStream) Feed(p []byte) ([]byte, error) {
	e.buf = append(e.buf[:copy(e.buf, e.buf[e.start:])], p...)
	e.seen, e.start = e.seen-e.start, 0
	out := e.buf[:0]
	e.last = e.last[:0]
	var err error
	for err == nil && e.seen < len(e.buf) {
		if e.skipsNewline() {
			continue
		}
		text, ok := e.line()
		if !ok {
			break
		}
		if len(text) > 0 {
			e.field(text)
			continue
		}
		out, err = e.endEvent(out)
	}
	if len(e.last) > 0 {
		e.LastID = string(e.last)
	}
	if err == nil && len(e.buf)-e.start > e.MaxEventBytes {
		err = &EventTooLongError{Bytes: e.MaxEventBytes}
	}
	return out, err
}

// skipsNewline takes the newline that belongs to a carriage return before it.
func (e *EventStream) skipsNewline() bool {
	after := e.cr && e.buf[e.seen] == '\n'
	e.cr = false
	if after {
		e.lone = false
		e.seen++
	}
	return after
}

// endEvent adds the event that the last empty line ended to out, if the client lacks it.
func (e *EventStream) endEvent(out []byte) ([]byte, error) {
	if err := e.joins(); err != nil {
		return out, err
	}
	if e.isNew() {
		out = append(out, e.buf[e.start:e.seen]...)
		e.gave()
	}
	e.start, e.hasID, e.plain, e.run.versioned = e.seen, false, false, false
	return out, nil
}

// line gives the next whole line without its end. A CR that is the last byte so far ends a line only where the line before it ended in
// a CR alone: else its LF is on the way, and an event is not to be cut in two.
func (e *EventStream) line() ([]byte, bool) {
	text, _, found := bytes.Cut(e.buf[e.seen:], []byte{'\n'})
	if n := bytes.IndexByte(text, '\r'); n >= 0 {
		text, found = text[:n], true
	}
	if !found {
		return nil, false
	}
	end := e.seen + len(text) + 1
	if e.buf[end-1] != '\r' {
		e.seen, e.lone = end, false
		return text, true
	}
	if e.cr = end == len(e.buf); e.cr && !e.lone {
		e.cr = false
		return nil, false
	}
	if e.lone = e.cr || e.buf[end] != '\n'; !e.lone {
		end++
	}
	e.seen = end
	return text, true
}

// Remaining is what came after the last whole event.
func (e *EventStream) Remaining() []byte { return e.buf[e.start:] }

// HasPartialEvent tells whether the rest begins another event: a stream that ends there is not complete. Comments and empty lines are no event.
func (e *EventStream) HasPartialEvent() bool {
	unread := bytes.TrimLeft(e.buf[e.seen:], "\r\n")
	return e.plain || (len(unread) > 0 && unread[0] != ':')
}

func (e *EventStream) field(text []byte) {
	name, value, _ := bytes.Cut(text, []byte{':'})
	e.plain = e.plain || len(name) > 0
	if string(name) == "id" {
		e.id = append(e.id[:0], bytes.TrimPrefix(value, []byte{' '})...)
		e.hasID = len(e.id) > 0
	}
	if len(name) > 0 && string(name) == e.VersionField {
		e.run.tell(string(bytes.TrimSpace(value)))
	}
}
