package prefixindex

import "time"

// Config holds the index's parameters.
type Config struct {
	// InitialTTL is the TTL until MinSamples confirmations have been measured. Then the TTL moves towards the Percentile
	// of the last Window latencies plus TTLMargin, limited to MinTTL and MaxTTL.
	InitialTTL, MinTTL, MaxTTL, TTLMargin time.Duration
	// OverdueAfter is how long a replica may take to respond to an attempt before all predictions about it are ignored.
	OverdueAfter time.Duration
	// ConfirmedTTL is how long a confirmed block counts without being confirmed again.
	ConfirmedTTL time.Duration
	Percentile   float64
	// Window and MinSamples are numbers of measured latencies.
	Window, MinSamples int
	// MaxTTLStep is the largest change of the TTL per second, as a fraction of it.
	MaxTTLStep float64
	// AlertWindow is the interval between two snapshots of the counters. Alerts evaluate the counts since the older of
	// the last two snapshots. An alert needs at least MinAlertCount predictions, and more expiries than EarlyAlert or
	// StaleAlert, which are fractions of the predictions.
	AlertWindow            time.Duration
	MinAlertCount          uint64
	EarlyAlert, StaleAlert float64
}

// Defaults returns the parameters that production nodes use.
func Defaults() Config {
	return Config{
		InitialTTL: 2 * time.Second, MinTTL: 200 * time.Millisecond, MaxTTL: 2 * time.Second,
		TTLMargin: 350 * time.Millisecond, OverdueAfter: 3 * time.Second, ConfirmedTTL: 10 * time.Minute,
		Percentile: 0.99, Window: 512, MinSamples: 64, MaxTTLStep: 0.05, AlertWindow: 30 * time.Second, MinAlertCount: 20, EarlyAlert: 0.02, StaleAlert: 0.05,
	}
}

// Counters count events since the start: predictions recorded, predictions confirmed, those confirmed after their TTL
// (EarlyExpiries), those never confirmed (StaleExpiries), evictions inferred from slow responses, and resets of
// replicas.
type Counters struct {
	Recorded, Confirmed, EarlyExpiries, StaleExpiries, InferredEvictions, Resets uint64
}
