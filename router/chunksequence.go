package router

import "strconv"

// ResponseLine is a line of an answer on the product's own interface: a piece of text, or the end mark with the number of pieces. Its JSON
// names are published; go is the id of the attempt.
type ResponseLine struct {
	AttemptID  string `json:"go"`
	Request    string `json:"request,omitempty"`
	InstanceID string `json:"instanceId"`
	Chunk      *int   `json:"piece,omitempty"`
	Text       string `json:"text,omitempty"`
	End        bool   `json:"end,omitempty"`
	Chunks     int    `json:"pieces,omitempty"`
}

// SequenceError is an answer's line that is not the one that was due: which field, what it says and what it should.
type SequenceError struct {
	Field, Got, Want string
}

func (e *SequenceError) Error() string {
	return "stream broke: " + e.Field + " is " + e.Got + ", not " + e.Want
}

// ChunkSequence checks that an answer's lines are those of one attempt at one instance, in order and whole.
type ChunkSequence struct {
	AttemptID  string
	InstanceID string
	next       int
	ended      bool
}

// Check takes the next line; the error is a *SequenceError.
func (s *ChunkSequence) Check(l ResponseLine) error {
	if s.ended {
		return &SequenceError{Field: "line", Got: "after the end mark", Want: "absent"}
	}
	if l.AttemptID != s.AttemptID {
		return &SequenceError{Field: "go", Got: strconv.Quote(l.AttemptID), Want: strconv.Quote(s.AttemptID)}
	}
	if s.InstanceID == "" {
		s.InstanceID = l.InstanceID
	}
	if l.InstanceID == "" || l.InstanceID != s.InstanceID {
		return &SequenceError{Field: "instanceId", Got: strconv.Quote(l.InstanceID), Want: strconv.Quote(s.InstanceID)}
	}
	if l.End {
		return s.end(l)
	}
	if l.Chunk == nil {
		return nil
	}
	if *l.Chunk != s.next {
		return &SequenceError{Field: "piece", Got: strconv.Itoa(*l.Chunk), Want: strconv.Itoa(s.next)}
	}
	s.next++
	return nil
}

func (s *ChunkSequence) end(l ResponseLine) error {
	if l.Chunks != s.next {
		return &SequenceError{Field: "pieces", Got: strconv.Itoa(l.Chunks), Want: strconv.Itoa(s.next)}
	}
	s.ended = true
	return nil
}

// Ended tells that the end mark came.
func (s *ChunkSequence) Ended() bool { return s.ended }
