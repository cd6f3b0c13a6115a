package proxy_test

import (
	"strconv"
	"strings"
	"testing"

	"github.com/mallowbridge/mallowbridge/proxy"
)

// TestEventsSplitAtEveryByte cuts a stream at each byte, takes it up at a replica that goes on after the last id, or earlier, cuts that one at
// each byte too, and goes on with a third: the client gets each event once, in order, whichever line ends are used.
func TestEventsSplitAtEveryByte(t *testing.T) {
	runs := 0
	for _, end := range []string{"\n", "\r\n", "\r"} {
		events := []string{"id: 1" + end + "data: a" + end + end, "id: 2" + end + "data: b" + end + end, "id: 3" + end + "data: c" + end + end}
		complete := strings.Join(events, "")
		for first := range len(complete) + 1 {
			for skipped := range len(events) {
				rest := strings.Join(events[skipped:], "")
				for second := range len(rest) + 1 {
					if splitTwice(t, events, complete[:first], skipped, rest[:second]) {
						runs++
					}
				}
			}
		}
	}
	t.Logf("%d runs", runs)
}

// splitTwice tells whether the second replica may begin after so many events: not after one that the client lacks.
func splitTwice(t *testing.T, events []string, first string, skipped int, second string) bool {
	t.Helper()
	e, out := proxy.EventStream{MaxEventBytes: 1 << 10}, ""
	take := func(text string) {
		complete, err := e.Feed([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		out += string(complete)
	}
	take(first)
	if last, _ := strconv.Atoi(e.LastID); skipped > last {
		return false
	}
	e.StartResponse("")
	take(second)
	last, _ := strconv.Atoi(e.LastID)
	e.StartResponse("")
	take(strings.Join(events[last:], ""))
	out += string(e.Remaining())
	if strip(out) != strip(strings.Join(events, "")) {
		t.Fatalf("%q, then %q from %d: became %q", first, second, skipped, out)
	}
	return true
}

// strip leaves line feeds alone: one that a cut left out is no loss.
func strip(text string) string {
	return strings.ReplaceAll(strings.ReplaceAll(text, "\r\n", "\n"), "\r", "\n")
}
