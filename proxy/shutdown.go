package proxy

import "time"

// maxAdmission bounds how long a process that shuts down still admits requests. The platform asks for readiness each second and takes a
// machine out at the second miss in a row, so new connections come for about as long.
const maxAdmission = 2 * time.Second

// ShutdownSchedule divides the grace period of a process, the time from SIGTERM until it is killed, into phases.
type ShutdownSchedule struct {
	// Grace is the grace period of the settings.
	Grace time.Duration
}

// AdmitFor is how long after SIGTERM requests are still admitted.
func (s ShutdownSchedule) AdmitFor() time.Duration { return min(s.Grace/4, maxAdmission) }

// LeaveAfter is how long after SIGTERM the node gives up what it does for others.
func (s ShutdownSchedule) LeaveAfter() time.Duration { return s.Grace * 3 / 5 }

// ExitAfter is how long after SIGTERM the process ends, with or without requests in flight.
func (s ShutdownSchedule) ExitAfter() time.Duration { return s.Grace - s.Grace/10 }

// Admits tells whether a request that comes so long after SIGTERM is admitted: only if it ends before the process does. Remaining is the
// time that its client waits; 0 where that is unknown, and then the request may take any time.
func (s ShutdownSchedule) Admits(elapsed, remaining time.Duration) bool {
	return elapsed < s.AdmitFor() && remaining > 0 && elapsed+remaining <= s.ExitAfter()
}

// shutdown is the state of a proxy whose process was told to end; begun at most once.
type shutdown struct {
	started  time.Time
	schedule ShutdownSchedule
}

// ShuttingDownError says that the process ends before the request would surely have ended.
type ShuttingDownError struct{}

func (*ShuttingDownError) Error() string { return "shutting down" }

// shutdownRetryAfter is when a client that is sent to another machine may ask there.
const shutdownRetryAfter = 10 * time.Millisecond

// admit refuses a request that a process in shutdown can't be sure to finish.
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

// Shutdown lets clients take their next requests elsewhere: each answer closes its connection, connections on which nothing comes are
// closed after the linger time, those in use as they fall idle. Of the requests that come all the same, those are served that end within
// the grace period and come early in it; others are answered at once with 503 and Retry-After, unread.
func (p *Proxy) Shutdown(grace time.Duration) {
	p.shutdown.Store(&shutdown{started: time.Now(), schedule: ShutdownSchedule{Grace: grace}})
	time.AfterFunc(p.settings.ShutdownLinger, p.closeIdle)
}

func (p *Proxy) closeIdle() {
	p.closing.Store(true)
	all := <-p.clients
	for c := range all {
		c.closeIdle()
	}
	p.clients <- all
}
