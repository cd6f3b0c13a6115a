package ferry

import (
	"bytes"
	"strconv"
)

// EventError says that an event of a stream is longer than the bound.
type EventError struct{ Bytes int }

func (e *EventError) Error() (text string) {
	return "event of over " + strconv.Itoa(e.Bytes) + " bytes"
}

// Events cuts a stream into whole events. Last is the id of the newest event given out.
type Events struct {
	Last string
	// Skip leaves events out up to this id.
	Skip  string
	Bound int
	// Plain tells that an event without an id was given out after the last: nobody can go on from there.
	Plain bool
	buf   []byte
	seen  int
	start int
	id    string
	hasID bool
	plain bool
}

// Feed takes bytes of the stream and gives the whole events among them that are new; the result is valid until the next call.
func (e *Events) Feed(p []byte) (whole []byte, err error) {
	e.buf = append(e.buf[:copy(e.buf, e.buf[e.start:])], p...)
	e.seen, e.start = e.seen-e.start, 0
	out := e.buf[:0]
	for {
		n := bytes.IndexByte(e.buf[e.seen:], '\n')
		if n < 0 {
			break
		}
		line := bytes.TrimSuffix(e.buf[e.seen:e.seen+n], []byte{'\r'})
		e.seen += n + 1
		if len(line) > 0 {
			e.field(line)
			continue
		}
		if !e.hasID || e.Skip == "" || after(e.id, e.Skip) {
			out = append(out, e.buf[e.start:e.seen]...)
			if e.hasID {
				e.Last, e.Plain = e.id, false
			} else if e.plain {
				e.Plain = true
			}
		}
		e.start, e.hasID, e.plain = e.seen, false, false
	}
	if len(e.buf)-e.start > e.Bound {
		return nil, &EventError{Bytes: e.Bound}
	}
	return out, nil
}

// Rest is what came after the last whole event.
func (e *Events) Rest() (tail []byte) { return e.buf[e.start:] }

// Resume drops the rest and goes on with another replica's stream after the last event.
func (e *Events) Resume() {
	e.buf, e.seen, e.start, e.hasID, e.plain, e.Skip = e.buf[:0], 0, 0, false, false, e.Last
}

func (e *Events) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	e.plain = e.plain || len(name) > 0
	if string(name) == "id" {
		e.id, e.hasID = string(bytes.TrimPrefix(value, []byte{' '})), true
	}
}

func after(id, last string) (yes bool) {
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(last, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return a > b
}
