package proxy_test

import (
	"strconv"
	"strings"
	"testing"

	"github.com/mallowbridge/mallowbridge/proxy"
)

// TestEventsSplitAtEveryByte cuts a stream at each byte, resumes it at a replica that continues after the last id or starts earlier, cuts
// that response at each byte too, and completes the stream at a third replica: the client must get each event once and in order, for all
// line ends.
func TestEventsSplitAtEveryByte(t *testing.T) {
	runs := 0
	for _, end := range []string{"\n", "\r\n", "\r"} {
		events := []string{"id: 1" + end + "data: a" + end + end, "id: 2" + end + "data: b" + end + end, "id: 3" + end + "data: c" + end + end}
		complete := strings.Join(events, "")
		for first := range len(complete) + 1 {
			for skipped := range len(events) {
				rest := strings.Join(events[skipped:], "")
				for second := range len(rest) + 1 {
					if deliversEachEventOnce(t, events, complete[:first], skipped, rest[:second]) {
						runs++
					}
				}
			}
		}
	}
	t.Logf("%d pairs of cuts", runs)
}

// deliversEachEventOnce checks one pair of cuts. It returns false for an impossible case: a second replica that would skip events the
// client lacks.
func deliversEachEventOnce(t *testing.T, events []string, first string, skipped int, second string) bool {
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
	if normalizeLineEnds(out) != normalizeLineEnds(strings.Join(events, "")) {
		t.Fatalf("%q, then %q from %d: became %q", first, second, skipped, out)
	}
	return true
}

// normalizeLineEnds leaves only line feeds: a cut may drop the LF of a CR LF, which loses nothing.
func normalizeLineEnds(text string) string {
	return strings.ReplaceAll(strings.ReplaceAll(text, "\r\n", "\n"), "\r", "\n")
}
