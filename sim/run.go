package sim

import "time"

// Run plays a scenario from the start of the fleet to its end, including the checks after the final full stop.
func Run(s Scenario) *World {
	w := New(s)
	w.Boot()
	if s.AfterBoot != nil {
		s.AfterBoot(w)
	}
	for _, f := range s.Faults {
		w.At(f.At, func() { w.Inject(f) })
	}
	if w.site != nil {
		w.site.startTraffic(s.Duration - 3*time.Second)
		w.Run(s.Duration)
		w.site.finish()
		return w
	}
	w.SubmitLoad(max(s.LoadStart, 5*time.Second), s.Duration-10*time.Second)
	w.Run(s.Duration)
	w.finish()
	return w
}
