package main

import "time"

func init() { scenarios["lose-one"] = loseOne }

// loseOne starts a deployment that may lose one machine with a disk. The first machine is lost for good a quarter of a second after its start,
// before the third one is up. Its successor starts two seconds later at another address with an empty disk, and all settings files name it
// among the seeds from then on. The operator sends the first configuration until it is taken.
func loseOne(env environment) (int, string) {
	f, err := newFleet(env.dir, env.binary, env.cloud, env.rec, 6, 4, 1, []string{"sala-norte", "sala-centro", "sala-sur"})
	if err != nil {
		return couldntGo, err.Error()
	}
	defer f.stop()
	const first, third, successor = 0, 2, 3
	for _, i := range []int{first, 1, 4, 5} {
		if err := f.start(i); err != nil {
			return couldntGo, err.Error()
		}
		time.Sleep(60 * time.Millisecond)
	}
	if env.trouble {
		f.kill(first)
		f.rec.note("%s is lost for good", f.machines[first].name)
	}
	time.Sleep(50 * time.Millisecond)
	if err := f.start(third); err != nil {
		return couldntGo, err.Error()
	}
	alive := []int{first, 1, third, 4, 5}
	if env.trouble {
		time.Sleep(2 * time.Second)
		f.machines[successor].firstStart = false
		alive = []int{1, third, 4, 5, successor}
		for _, i := range alive {
			f.machines[i].seeds = []string{f.controlAddr(1), f.controlAddr(third), f.controlAddr(successor)}
			if err := f.writeSettings(i); err != nil {
				return couldntGo, err.Error()
			}
		}
		if err := f.start(successor); err != nil {
			return couldntGo, err.Error()
		}
	}
	if _, status := f.put(0, 1, document(1), alive, 60*time.Second); status != 200 {
		return broken, "Acks: the first configuration was not acknowledged within 60 s (ackTimeoutMs 5000), and nothing can be served"
	}
	return held, "the first configuration was acknowledged"
}
