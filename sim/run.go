package sim

import "time"

// Run plays a scenario from the start of the fleet to its end, with the checks that follow a full stop.
func Run(s Scenario) *World {
	w := New(s)
	w.Boot()
	if s.Tune != nil {
		s.Tune(w)
	}
	for _, f := range s.Faults {
		w.At(f.At, func() { w.Break(f) })
	}
	if w.site != nil {
		w.site.traffic(s.Lasts - 3*time.Second)
		w.Run(s.Lasts)
		w.site.finish()
		return w
	}
	w.Load(max(s.From, 5*time.Second), s.Lasts-10*time.Second)
	w.Run(s.Lasts)
	w.finish()
	return w
}
