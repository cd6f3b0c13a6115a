package membership

import "time"

// Config holds the times of failure detection.
type Config struct {
	// PingInterval is how often a member pings those it watches; members held dead, and those that left, are pinged deadPingFactor times
	// more seldom.
	PingInterval time.Duration
	// DirectTimeout is how long a ping may stay unanswered until helpers are asked to ping too, IndirectTimeout how long from there
	// until the member is suspected, and SuspicionTimeout how long a suspicion may stand until the member is declared dead.
	DirectTimeout, IndirectTimeout, SuspicionTimeout time.Duration
	// PauseGap is the time between two ticks that means that this machine stood still: what is under way is then void.
	PauseGap time.Duration
	// IsolatedAfter is how long nobody may answer until this member holds itself cut off and declares nobody dead.
	IsolatedAfter time.Duration
	// Helpers is how many members are asked to ping one that does not answer.
	Helpers int
}

// Defaults are the times that production nodes use.
func Defaults() Config {
	return Config{
		PingInterval: 400 * time.Millisecond, DirectTimeout: 350 * time.Millisecond, IndirectTimeout: 350 * time.Millisecond,
		SuspicionTimeout: 900 * time.Millisecond, PauseGap: time.Second, IsolatedAfter: 1500 * time.Millisecond, Helpers: 2,
	}
}

const (
	deadPingFactor = 5
	relayFor       = 5 * time.Second
	// leftPingFor is how long a member that left is pinged on: it may be back at its address, with seeds that are down, and know nobody.
	leftPingFor = 2 * time.Minute
)
