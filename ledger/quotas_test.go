package ledger

import (
	"testing"
	"time"
)

// TestCheckQuotasFindsOverfullWindows checks that windows slide, and that a superseded limit applies only to windows that started before its
// end.
func TestCheckQuotasFindsOverfullWindows(t *testing.T) {
	rule := QuotaRule{Window: 2 * time.Second, Overage: 0.1, Slack: 5}
	limits := []QuotaLimit{{Tenant: "a", FromMs: 0, UntilMs: 10000, Rate: 10, Burst: 5}, {Tenant: "a", FromMs: 9000, UntilMs: 99000, Rate: 1, Burst: 0}}
	for name, c := range map[string]struct {
		runs []QuotaRun
		want int
	}{
		"within the limit":              {[]QuotaRun{{0, "a", 16}, {1900, "a", 16}, {2000, "a", 16}}, 0},
		"window not aligned to seconds": {[]QuotaRun{{500, "a", 16}, {1500, "a", 16}, {2400, "a", 1}}, 1},
		"larger limit still applies":    {[]QuotaRun{{9500, "a", 30}}, 0},
		"only the lower limit applies":  {[]QuotaRun{{10000, "a", 8}}, 1},
		"tenant without a limit":        {[]QuotaRun{{0, "b", 1e9}}, 0},
	} {
		if got := CheckQuotas(FullestWindows(c.runs, limits, rule)); len(got) != c.want {
			t.Errorf("%s: got %v, want %d breaches", name, got, c.want)
		}
	}
}
