package daemon

import (
	"time"

	"golang.org/x/sys/unix"
)

func Clock() (now time.Duration) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return time.Duration(ts.Nano())
}
