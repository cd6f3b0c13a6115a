package mallowbridge

import "strconv"

type Line struct {
	Go         string `json:"go"`
	Request    string `json:"request,omitempty"`
	InstanceID string `json:"instanceId"`
	Piece      *int   `json:"piece,omitempty"`
	Text       string `json:"text,omitempty"`
	End        bool   `json:"end,omitempty"`
	Pieces     int    `json:"pieces,omitempty"`
}

type StrandError struct {
	Field, Got, Want string
}

func (e *StrandError) Error() (text string) {
	return "stream broke: " + e.Field + " is " + e.Got + ", not " + e.Want
}

type Strand struct {
	Go       string
	Instance string
	next     int
	ended    bool
}

func (s *Strand) Take(l Line) (err error) {
	if s.ended {
		return &StrandError{Field: "line", Got: "after the end mark", Want: "absent"}
	}
	if l.Go != s.Go {
		return &StrandError{Field: "go", Got: strconv.Quote(l.Go), Want: strconv.Quote(s.Go)}
	}
	if s.Instance == "" {
		s.Instance = l.InstanceID
	}
	if l.InstanceID == "" || l.InstanceID != s.Instance {
		return &StrandError{Field: "instanceId", Got: strconv.Quote(l.InstanceID), Want: strconv.Quote(s.Instance)}
	}
	if l.End {
		if l.Pieces != s.next {
			return &StrandError{Field: "pieces", Got: strconv.Itoa(l.Pieces), Want: strconv.Itoa(s.next)}
		}
		s.ended = true
		return nil
	}
	if l.Piece == nil {
		return nil
	}
	if *l.Piece != s.next {
		return &StrandError{Field: "piece", Got: strconv.Itoa(*l.Piece), Want: strconv.Itoa(s.next)}
	}
	s.next++
	return nil
}

func (s *Strand) Ended() (yes bool) { return s.ended }
