package proxy

import "testing"

func TestEachCounterHasAName(t *testing.T) {
	var n Counters
	n.Requests.Add(3)
	n.DialFails.Add(2)
	c := n.Map()
	if c["ferry.requests"] != 3 || c["ferry.dialFails"] != 2 || c["ferry.done"] != 0 || len(c) < 10 {
		t.Errorf("%v", c)
	}
}
