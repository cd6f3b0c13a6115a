package config_test

import (
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
)

// TestSilenceTimeout checks how long clients wait for an event: the longest of 2 s, four first-token targets and eight gap
// targets.
func TestSilenceTimeout(t *testing.T) {
	for _, c := range []struct {
		route config.Route
		want  time.Duration
	}{
		{config.Route{FirstTokenTarget: time.Minute}, 0},
		{config.Route{Streaming: true}, 2 * time.Second},
		{config.Route{Streaming: true, FirstTokenTarget: 400 * time.Millisecond, EventGapTarget: 100 * time.Millisecond}, 2 * time.Second},
		{config.Route{Streaming: true, FirstTokenTarget: time.Second, EventGapTarget: 400 * time.Millisecond}, 4 * time.Second},
		{config.Route{Streaming: true, FirstTokenTarget: 600 * time.Millisecond, EventGapTarget: 400 * time.Millisecond}, 3200 * time.Millisecond},
	} {
		if got := c.route.SilenceTimeout(); got != c.want {
			t.Errorf("%+v: %v, want %v", c.route, got, c.want)
		}
	}
}
