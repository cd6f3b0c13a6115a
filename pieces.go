package mallowbridge

import "strconv"

// Line is a line of an answer on the product's own interface: a piece of text, or the end mark with the number of pieces. Its JSON
// names are published; go is the id of the attempt.
type Line struct {
	Go         string `json:"go"`
	Request    string `json:"request,omitempty"`
	InstanceID string `json:"instanceId"`
	Piece      *int   `json:"piece,omitempty"`
	Text       string `json:"text,omitempty"`
	End        bool   `json:"end,omitempty"`
	Pieces     int    `json:"pieces,omitempty"`
}

// SequenceError is an answer's line that is not the one that was due: which field, what it says and what it should.
type SequenceError struct {
	Field, Got, Want string
}

func (e *SequenceError) Error() string {
	return "stream broke: " + e.Field + " is " + e.Got + ", not " + e.Want
}

// PieceSequence checks that an answer's lines are those of one attempt at one instance, in order and whole.
type PieceSequence struct {
	Go       string
	Instance string
	next     int
	ended    bool
}

// Check takes the next line; the error is a *SequenceError.
func (s *PieceSequence) Check(l Line) error {
	if s.ended {
		return &SequenceError{Field: "line", Got: "after the end mark", Want: "absent"}
	}
	if l.Go != s.Go {
		return &SequenceError{Field: "go", Got: strconv.Quote(l.Go), Want: strconv.Quote(s.Go)}
	}
	if s.Instance == "" {
		s.Instance = l.InstanceID
	}
	if l.InstanceID == "" || l.InstanceID != s.Instance {
		return &SequenceError{Field: "instanceId", Got: strconv.Quote(l.InstanceID), Want: strconv.Quote(s.Instance)}
	}
	if l.End {
		return s.end(l)
	}
	if l.Piece == nil {
		return nil
	}
	if *l.Piece != s.next {
		return &SequenceError{Field: "piece", Got: strconv.Itoa(*l.Piece), Want: strconv.Itoa(s.next)}
	}
	s.next++
	return nil
}

func (s *PieceSequence) end(l Line) error {
	if l.Pieces != s.next {
		return &SequenceError{Field: "pieces", Got: strconv.Itoa(l.Pieces), Want: strconv.Itoa(s.next)}
	}
	s.ended = true
	return nil
}

// Ended tells that the end mark came.
func (s *PieceSequence) Ended() bool { return s.ended }
