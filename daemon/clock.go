package daemon

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since the machine's boot. It includes the time that the machine was suspended, and is never adjusted.
func Clock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return time.Duration(ts.Nano())
}
