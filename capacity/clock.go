package capacity

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// ThreadClock locks the calling goroutine to its thread and returns a clock of that thread's CPU time, so that other load on the machine is not
// measured. ThreadClock first measures the average cost of reading the clock, and each reading subtracts that cost once for every reading so
// far. The clock never goes back.
func ThreadClock() func() time.Duration {
	runtime.LockOSThread()
	read := func() time.Duration {
		var ts unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
			panic(err)
		}
		return time.Duration(ts.Nano())
	}
	const samples = 20000
	start := read()
	for range samples - 1 {
		read()
	}
	readCost := (read() - start) / samples
	overhead, last := time.Duration(0), time.Duration(0)
	return func() time.Duration {
		overhead += readCost
		last = max(last, read()-overhead)
		return last
	}
}
