package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["all-killed"] = allKilled }

// allKilled starts eight machines, three with a disk. The settings then name three machines without a disk as seeds, which are down from then
// on. All processes that run are killed at the same moment and are back half a second later, with their disks. The operator reads back what
// was acknowledged.
func allKilled(env environment) (int, string) {
	f, err := newFleet(env.dir, env.binary, env.cloud, env.rec, 8, 3, 1, []string{"sala-norte", "sala-centro", "sala-sur"})
	if err != nil {
		return couldntGo, err.Error()
	}
	defer f.stop()
	if err := f.startAll(300 * time.Millisecond); err != nil {
		return couldntGo, err.Error()
	}
	if _, status := f.put(0, 1, document(1), []int{0, 1, 2}, 20*time.Second); status != 200 {
		return couldntGo, "the first configuration was not acknowledged"
	}
	seeds, running := []int{3, 4, 5}, []int{0, 1, 2, 6, 7}
	if err := f.nameSeeds(seeds); err != nil {
		return couldntGo, err.Error()
	}
	time.Sleep(2 * time.Second)
	if _, status := f.put(1, 2, document(2), running, 20*time.Second); status != 200 {
		return couldntGo, "the second configuration was not acknowledged"
	}
	if env.trouble {
		for _, i := range seeds {
			f.kill(i)
		}
		time.Sleep(5 * time.Second)
		if err := f.restartAtOnce(running); err != nil {
			return couldntGo, err.Error()
		}
	}
	time.Sleep(20 * time.Second)
	if n := f.readBack(running, 40*time.Second); n != 2 {
		return broken, fmt.Sprintf("LOST: revision 2 was acknowledged, read back: %d (-1: no answer)", n)
	}
	return held, "the acknowledged configuration was read back"
}

// nameSeeds writes settings that name other seeds, and tells all machines.
func (f *fleet) nameSeeds(seeds []int) error {
	var addrs []string
	for _, i := range seeds {
		addrs = append(addrs, f.controlAddr(i))
	}
	for i, m := range f.machines {
		m.firstStart, m.seeds = false, addrs
		if err := f.writeSettings(i); err != nil {
			return err
		}
		_ = m.process.Process.Signal(syscall.SIGHUP)
	}
	f.rec.note("settings name %v as seeds; SIGHUP", addrs)
	return nil
}

// restartAtOnce kills machines at the same moment and starts them half a second later.
func (f *fleet) restartAtOnce(machines []int) error {
	var all sync.WaitGroup
	for _, i := range machines {
		all.Add(1)
		go func() {
			defer all.Done()
			f.kill(i)
		}()
	}
	all.Wait()
	time.Sleep(500 * time.Millisecond)
	for _, i := range machines {
		if err := f.start(i); err != nil {
			return err
		}
	}
	return nil
}
