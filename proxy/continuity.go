package proxy

import (
	"bytes"
	"strconv"
)

// MissingIDError says that a resumed stream began with an event without an id: nobody knows whether the client has it.
type MissingIDError struct {
	// After is the id of the newest event that the client has.
	After string
}

func (e *MissingIDError) Error() string {
	return "event without id where the one after " + strconv.Quote(e.After) + " is due"
}

// GapError says that a resumed stream left out an event: the ids so far were consecutive.
type GapError struct {
	// After is the id of the newest event that the client has, Got that of the event that came.
	After, Got string
}

func (e *GapError) Error() string {
	return "event " + strconv.Quote(e.Got) + " where the one after " + strconv.Quote(e.After) + " is due"
}

// WeightsMismatchError says that a resumed stream is made with other weights than what the client has.
type WeightsMismatchError struct{ Expected, Got uint64 }

func (e *WeightsMismatchError) Error() string {
	return "weights of version " + strconv.FormatUint(e.Got, 10) + " where " + strconv.FormatUint(e.Expected, 10) + " is due"
}

// weights is a version of a model's weights, where one is known.
type weights struct {
	version uint64
	known   bool
}

func parseWeights(text string) weights {
	n, err := strconv.ParseUint(text, 10, 64)
	return weights{version: n, known: err == nil}
}

// differ tells whether both are known and not the same.
func (w weights) differ(other weights) bool {
	return w.known && other.known && w.version != other.version
}

// continuity tells whether the events of the run being read stand behind those that the client has. A run is the answer of one replica.
type continuity struct {
	// skip is the newest event that the client has from elsewhere; events up to it are left out.
	skip []byte
	// given tells that an event of any run was given out, onward that one of this run was.
	given, onward bool
	// successors counts events whose id was one above that of the event before, or 1 at the start of a stream; leaps tells of other ids.
	successors int
	leaps      bool
	// current are the weights of the run at the event being read, versioned tells that this event names them; delivered are those of the
	// newest event given out.
	current, delivered weights
	versioned          bool
}

// tell takes the version that an event names.
func (c *continuity) tell(version string) {
	c.current, c.versioned = parseWeights(version), true
}

// consecutive tells whether the ids so far left no number out.
func (c *continuity) consecutive() bool { return c.successors > 0 && !c.leaps }

// StartResponse drops the rest of a run and goes on with another one, or with the first, behind the last event. Version is the weights' version
// that its head tells, empty where it tells none.
func (e *EventStream) StartResponse(version string) {
	e.buf, e.seen, e.start = e.buf[:0], 0, 0
	e.cr, e.lone, e.hasID, e.plain = false, false, false, false
	e.run.skip, e.run.onward, e.run.versioned = append(e.run.skip[:0], e.LastID...), false, false
	e.run.current = parseWeights(version)
}

// ExpectedVersion is the weights' version with which a run may go on; empty where none is known.
func (e *EventStream) ExpectedVersion() string {
	if !e.run.delivered.known {
		return ""
	}
	return strconv.FormatUint(e.run.delivered.version, 10)
}

// AcceptsVersion tells whether a run whose head tells the version may go on behind the events given out.
func (e *EventStream) AcceptsVersion(version string) bool {
	return !e.run.delivered.differ(parseWeights(version))
}

// joins checks that the event just read may stand behind what was given out of an earlier run.
func (e *EventStream) joins() error {
	c := &e.run
	if !c.given || len(c.skip) == 0 || !e.plain || !e.isNew() {
		return nil
	}
	if !c.onward && !e.hasID {
		return &MissingIDError{After: string(c.skip)}
	}
	if !c.onward && c.consecutive() && !succeeds(e.id, c.skip) {
		return &GapError{After: string(c.skip), Got: string(e.id)}
	}
	unannounced := !c.onward && !c.versioned
	if c.delivered.differ(c.current) && (unannounced || c.current.version < c.delivered.version) {
		return &WeightsMismatchError{Expected: c.delivered.version, Got: c.current.version}
	}
	return nil
}

// isNew tells whether the event just read comes after those that the client has.
func (e *EventStream) isNew() bool {
	return !e.hasID || len(e.run.skip) == 0 || after(e.id, e.run.skip)
}

// gave notes that the event just read is given out.
func (e *EventStream) gave() {
	if !e.plain {
		return
	}
	c := &e.run
	c.given = true
	if c.current.known {
		c.delivered = c.current
	}
	if !e.hasID {
		e.CannotResume = true
		return
	}
	before := e.last
	if len(before) == 0 {
		before = []byte(e.LastID)
	}
	if succeeds(e.id, before) {
		c.successors++
	} else {
		c.leaps = c.leaps || len(before) > 0
	}
	e.last, c.onward = append(e.last[:0], e.id...), true
	_, opaque := number(e.id)
	e.CannotResume = opaque != nil
}

func number(id []byte) (uint64, error) { return strconv.ParseUint(string(id), 10, 64) }

// succeeds tells whether id is the number after last, or 1 at the start of a stream.
func succeeds(id, last []byte) bool {
	n, err := number(id)
	if err != nil {
		return false
	}
	if len(last) == 0 {
		return n == 1
	}
	before, err := number(last)
	return err == nil && n == before+1
}

// after tells whether the event of one id comes after that of another. Of ids that are no numbers nothing is known but whether they are one.
func after(id, last []byte) bool {
	a, errA := number(id)
	b, errB := number(last)
	if errA != nil || errB != nil {
		return !bytes.Equal(id, last)
	}
	return a > b
}
