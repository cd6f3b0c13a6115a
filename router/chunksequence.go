package router

import "strconv"

// ResponseLine is one line of a response on the product's own interface: a chunk of text, or the end mark with the number of chunks. Its JSON
// names are public; "go" is the ID of the attempt, "piece" the number of the chunk, from 0.
type ResponseLine struct {
	AttemptID  string `json:"go"`
	Request    string `json:"request,omitempty"`
	InstanceID string `json:"instanceId"`
	Chunk      *int   `json:"piece,omitempty"`
	Text       string `json:"text,omitempty"`
	End        bool   `json:"end,omitempty"`
	Chunks     int    `json:"pieces,omitempty"`
}

// SequenceError reports a line that is not the expected next line of a response: the field that differs, its value and the expected one.
type SequenceError struct {
	Field, Got, Want string
}

func (e *SequenceError) Error() string {
	return "invalid response line: " + e.Field + " is " + e.Got + ", not " + e.Want
}

// ChunkSequence checks that the lines of a response belong to one attempt at one instance, are in order and are complete. If InstanceID is
// empty, the first line sets it.
type ChunkSequence struct {
	AttemptID  string
	InstanceID string
	next       int
	ended      bool
}

// Check checks the next line of the response. The error is a *SequenceError if the line is not the expected one.
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

// Ended reports whether the end mark was read.
func (s *ChunkSequence) Ended() bool { return s.ended }
