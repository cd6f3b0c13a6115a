package main

import (
	"fmt"
	"time"
)

func init() { scenarios["wipe-two"] = wipeTwo }

// wipeTwo starts a deployment that may lose two machines with a disk. The operator sends the first configuration from the start on, until it is
// taken. As soon as it is acknowledged, the first two machines lose their disks; they are back within a second. The operator then reads the
// configuration back.
func wipeTwo(env environment) (int, string) {
	f, err := newFleet(env.dir, env.binary, env.cloud, env.rec, 8, 6, 2, []string{"sala-norte", "sala-centro", "sala-sur"})
	if err != nil {
		return couldntGo, err.Error()
	}
	defer f.stop()
	all, lost := []int{0, 1, 2, 3, 4, 5, 6, 7}, []int{0, 1}
	starts := make(chan error, 1)
	go func() { starts <- f.startAll(300 * time.Millisecond) }()
	_, status := f.put(0, 1, document(1), []int{2, 0, 1}, 30*time.Second)
	if status == 200 && env.trouble {
		for _, i := range lost {
			f.kill(i)
			f.wipe(i)
		}
	}
	if err := <-starts; err != nil || status != 200 {
		return couldntGo, fmt.Sprintf("the first configuration was not acknowledged (%d, %v)", status, err)
	}
	if env.trouble {
		time.Sleep(700 * time.Millisecond)
		for _, i := range lost {
			f.machines[i].firstStart = false
			if err := f.start(i); err != nil {
				return couldntGo, err.Error()
			}
		}
	}
	time.Sleep(15 * time.Second)
	env.rec.note("voters as the third machine knows them: %v", f.voters(2))
	if n := f.readBack(all, 30*time.Second); n != 1 {
		return broken, fmt.Sprintf("LOST: revision 1 was acknowledged, read back: %d (-1: no answer)", n)
	}
	return held, "the acknowledged configuration was read back"
}
