package daemon

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is the time since the machine's start, which runs on while the machine sleeps and is never set.
func Clock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return time.Duration(ts.Nano())
}
