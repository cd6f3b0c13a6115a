package proxy

import (
	"bytes"
	"strconv"
)

// EventError says that an event of a stream is longer than the bound.
type EventError struct{ Bytes int }

func (e *EventError) Error() string {
	return "event of over " + strconv.Itoa(e.Bytes) + " bytes"
}

// UnplacedError says that a resumed stream began with an event without an id: nobody knows whether the client has it.
type UnplacedError struct {
	// After is the id of the newest event that the client has.
	After string
}

func (e *UnplacedError) Error() string {
	return "event without id where the one after " + strconv.Quote(e.After) + " is due"
}

// Events cuts a stream into whole events; lines may end in CR LF, LF or CR.
type Events struct {
	// Last is the id of the newest event given out, or that the client had seen before.
	Last  string
	Bound int
	// Plain tells that an event without an id was given out after the last that has one: the stream cannot be resumed from there.
	Plain bool
	// last becomes Last; events up to skip are left out, until onward tells that one after it was given out.
	last, skip []byte
	onward     bool
	buf        []byte
	seen       int
	start      int
	// cr tells that the last line ended in a CR at the end of what has come, lone that a CR alone ended it.
	cr, lone bool
	id       []byte
	hasID    bool
	plain    bool
}

// Feed takes bytes of the stream and gives the whole events among them that are new; the result is valid until the next call. What it gives
// along with an error is to be passed on all the same: Last counts it.
func (e *Events) Feed(p []byte) ([]byte, error) {
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
		e.Last = string(e.last)
	}
	if err == nil && len(e.buf)-e.start > e.Bound {
		err = &EventError{Bytes: e.Bound}
	}
	return out, err
}

// skipsNewline takes the newline that belongs to a carriage return before it.
func (e *Events) skipsNewline() bool {
	after := e.cr && e.buf[e.seen] == '\n'
	e.cr = false
	if after {
		e.lone = false
		e.seen++
	}
	return after
}

// endEvent adds the event that the last empty line ended to out, if the client lacks it.
func (e *Events) endEvent(out []byte) ([]byte, error) {
	if e.plain && !e.hasID && !e.onward && len(e.skip) > 0 {
		return out, &UnplacedError{After: string(e.skip)}
	}
	if e.isNew() {
		out = append(out, e.buf[e.start:e.seen]...)
		e.gave()
	}
	e.start, e.hasID, e.plain = e.seen, false, false
	return out, nil
}

// isNew tells whether the event just read comes after those that the client has.
func (e *Events) isNew() bool { return !e.hasID || len(e.skip) == 0 || after(e.id, e.skip) }

// gave notes that the event just read is given out.
func (e *Events) gave() {
	switch {
	case e.hasID:
		e.last, e.Plain, e.onward = append(e.last[:0], e.id...), false, true
	case e.plain:
		e.Plain = true
	}
}

// line gives the next whole line without its end. A CR that is the last byte so far ends a line only where the line before it ended in
// a CR alone: else its LF is on the way, and an event is not to be cut in two.
func (e *Events) line() ([]byte, bool) {
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

// Rest is what came after the last whole event.
func (e *Events) Rest() []byte { return e.buf[e.start:] }

// Resume drops the rest and goes on with another replica's stream after the last event.
func (e *Events) Resume() {
	e.Restart()
	e.skip, e.onward = append(e.skip[:0], e.Last...), false
}

// Restart drops the rest of a stream of which nothing was given out; another one begins.
func (e *Events) Restart() {
	e.buf, e.seen, e.start = e.buf[:0], 0, 0
	e.cr, e.lone, e.hasID, e.plain = false, false, false, false
}

func (e *Events) field(text []byte) {
	name, value, _ := bytes.Cut(text, []byte{':'})
	e.plain = e.plain || len(name) > 0
	if string(name) == "id" {
		e.id = append(e.id[:0], bytes.TrimPrefix(value, []byte{' '})...)
		e.hasID = len(e.id) > 0
	}
}

func after(id, last []byte) bool {
	a, errA := strconv.ParseUint(string(id), 10, 64)
	b, errB := strconv.ParseUint(string(last), 10, 64)
	if errA != nil || errB != nil {
		return !bytes.Equal(id, last)
	}
	return a > b
}
