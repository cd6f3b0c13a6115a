package capacity

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// ThreadClock is the CPU time of the calling goroutine's thread, which it keeps from then on: what others on the machine
// take does not count. Reading it twice costs that much itself, and so much is taken off; it
// never goes back.
func ThreadClock() func() time.Duration {
	runtime.LockOSThread()
	read := func() time.Duration {
		var ts unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
			panic(err)
		}
		return time.Duration(ts.Nano())
	}
	const tries = 20000
	from := read()
	for range tries - 1 {
		read()
	}
	each := (read() - from) / tries
	taken, last := time.Duration(0), time.Duration(0)
	return func() time.Duration {
		taken += each
		last = max(last, read()-taken)
		return last
	}
}
