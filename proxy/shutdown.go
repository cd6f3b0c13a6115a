package proxy

import "time"

// admitFor is how long after SIGTERM new requests are still admitted. The platform checks readiness every second and takes a machine out of
// service after two failed checks in a row, so new connections keep coming for about that long.
const admitFor = 2 * time.Second

// ShutdownSchedule divides the grace period of a process, the time from SIGTERM until it is killed, into phases.
type ShutdownSchedule struct {
	// Grace is the configured grace period.
	Grace time.Duration
}

// LeaveAfter returns how long after SIGTERM the node leaves the fleet, so that other nodes take over its tasks.
func (s ShutdownSchedule) LeaveAfter() time.Duration { return s.Grace * 3 / 5 }

// ExitAfter returns how long after SIGTERM the process exits, with or without requests in flight.
func (s ShutdownSchedule) ExitAfter() time.Duration { return s.Grace - s.Grace/10 }

// Admits reports whether a request is admitted that arrives elapsed after SIGTERM: only if it is sure to end before the process exits. The
// parameter remaining is how long the client still waits for the response; 0 means unknown, and such a request is rejected because it may
// take any time.
func (s ShutdownSchedule) Admits(elapsed, remaining time.Duration) bool {
	return elapsed < admitFor && remaining > 0 && elapsed+remaining <= s.ExitAfter()
}

// shutdown is the state of a proxy whose process is shutting down. It is set at most once.
type shutdown struct {
	started  time.Time
	schedule ShutdownSchedule
}

// ShuttingDownError reports that the process may exit before the request would have ended.
type ShuttingDownError struct{}

func (*ShuttingDownError) Error() string { return "shutting down" }

// retryElsewhere is the Retry-After time if this machine can't take a request and others can: clients' next attempts reach other machines
// (PROTOCOL, How clients arrive).
const retryElsewhere = 10 * time.Millisecond

// admit returns a ShuttingDownError if the process is shutting down and the request might not end in time. A nil shutdown admits every
// request; a zero deadline means that the client named none.
func (s *shutdown) admit(now, deadline time.Time) error {
	var remaining time.Duration
	if !deadline.IsZero() {
		remaining = deadline.Sub(now)
	}
	if s == nil || s.schedule.Admits(now.Sub(s.started), remaining) {
		return nil
	}
	return &ShuttingDownError{}
}

// Shutdown makes clients move to other machines. Every response from now on closes its connection. After the ShutdownLinger time idle
// connections are closed at once, and connections in use as soon as they become idle. A request that arrives meanwhile is served if it
// arrives early in the grace period and its deadline lies within it; any other gets a 503 with Retry-After immediately, and its body is not
// read.
func (p *Proxy) Shutdown(grace time.Duration) {
	p.shutdown.Store(&shutdown{started: time.Now(), schedule: ShutdownSchedule{Grace: grace}})
	time.AfterFunc(p.settings.ShutdownLinger, p.closeIdle)
}

// closeIdle closes all idle client connections and makes the others close when they become idle.
func (p *Proxy) closeIdle() {
	p.closing.Store(true)
	clients := <-p.clients
	for c := range clients {
		c.closeIdle()
	}
	p.clients <- clients
}
