package membership

import "time"

// Config holds the parameters of failure detection.
type Config struct {
	// PingInterval is the time between a member's pings to each of the members that it pings. Dead members and members that left are pinged
	// deadPingFactor times less often.
	PingInterval time.Duration
	// DirectTimeout is how long a ping may remain unanswered before helpers are asked to ping too. IndirectTimeout is how long after that
	// the member becomes suspect, and SuspicionTimeout how long it stays suspect before it is declared dead.
	DirectTimeout, IndirectTimeout, SuspicionTimeout time.Duration
	// PauseGap is the longest normal time between two ticks. If it is exceeded, this machine was frozen, and pending probes are dropped.
	PauseGap time.Duration
	// IsolatedAfter is the time without an answer from any member after which this member considers itself isolated. An isolated member
	// declares no other member dead.
	IsolatedAfter time.Duration
	// Helpers is the number of members that are asked to ping one that does not answer.
	Helpers int
}

// Defaults returns the configuration that production nodes use.
func Defaults() Config {
	return Config{
		PingInterval: 400 * time.Millisecond, DirectTimeout: 350 * time.Millisecond, IndirectTimeout: 350 * time.Millisecond,
		SuspicionTimeout: 900 * time.Millisecond, PauseGap: time.Second, IsolatedAfter: 1500 * time.Millisecond, Helpers: 2,
	}
}

const (
	// deadPingFactor is how many times longer than PingInterval the pings to a dead member are apart.
	deadPingFactor = 5
	// relayTimeout is how long a helper waits for an Ack to forward.
	relayTimeout = 5 * time.Second
	// leftPingFor is how long pings to a member continue after it left. It may return at the same address while all its seeds are down, and then
	// only these pings connect it to the fleet.
	leftPingFor = 2 * time.Minute
)
