package sim

import (
	"fmt"
	"slices"
	"time"
)

// injectTrafficFault is fault with replicas and traffic.
func (s *site) injectTrafficFault(f Fault) {
	switch f.Kind {
	case BurstFault:
		s.burst(f)
	case HotKey:
		s.load.surges = append(s.load.surges, loadSurge{from: s.w.Now, until: s.w.Now + f.For, class: 1, times: 1, hot: 0.28})
	case ReplicaCrash, ReplicaUnreachable, ReplicaRestart:
		most := 2
		if len(f.On) > 0 && slices.Contains(s.spec.Shape.Zones, f.On[0]) {
			most = len(s.instances)
		}
		for _, i := range s.chosen(f, most) {
			s.crash(i, f)
		}
	case ReplicaFreeze:
		for _, i := range s.chosen(f, 2) {
			s.freezeReplica(i, f.For)
		}
	case Release:
		s.renew(s.chosen(f, 4))
	case ScaleIn:
		for _, i := range s.chosen(f, 2) {
			i.drain()
		}
	case ScaleOut:
		for k := range 3 {
			o := &s.spec.Services[0]
			s.launch(o, s.spec.Shape.Zones[k%len(s.spec.Shape.Zones)], s.address(o), o.Slowdowns[k%len(o.Slowdowns)], true)
		}
	case CorruptResponses:
		s.garbleAnswers(f)
	}
}

// burst multiplies the traffic of the classes that the fault names, or a little that of all streams.
func (s *site) burst(f Fault) {
	for i, c := range s.spec.Classes {
		surge := loadSurge{from: s.w.Now, until: s.w.Now + f.For, class: i, times: 1.5}
		named := slices.Contains(f.On, c.Name)
		if named {
			surge.times = 3
		}
		if named || (len(f.On) == 0 && c.Streaming) {
			s.load.surges = append(s.load.surges, surge)
		}
	}
}

// garbleAnswers has some replicas answer wrongly, in the way that the fault names first; all of them, and always, where it names another.
func (s *site) garbleAnswers(f Fault) {
	how, every, on := "reset", 25, 6
	if len(f.On) > 0 {
		how = f.On[0]
	}
	if len(f.On) > 1 {
		every, on = 1, len(s.instances)
	}
	for _, i := range s.chosen(Fault{}, on) {
		i.garble = garbling{every: every, how: how}
		s.w.After(f.For, func() { i.garble = garbling{} })
	}
}

// chosen picks replicas at random, of the service or zone that the fault names, or of any.
func (s *site) chosen(f Fault, n int) []*Instance {
	service := ""
	if len(f.On) > 0 {
		service = f.On[0]
	}
	is := s.alive(service)
	if slices.Contains(s.spec.Shape.Zones, service) {
		is = slices.DeleteFunc(s.alive(""), func(i *Instance) bool { return i.Zone != service })
	}
	s.rng.Shuffle(len(is), func(i, j int) { is[i], is[j] = is[j], is[i] })
	return is[:min(n, len(is))]
}

func (s *site) crash(i *Instance, f Fault) {
	for _, k := range i.sockets {
		k.harm()
	}
	repeated := func() {
		if s.at[i.Addr] == i {
			s.launch(i.service, i.Zone, i.Addr, i.pace, true)
		}
	}
	if f.Kind == ReplicaUnreachable {
		i.dark = true
		s.w.After(f.For, func() {
			i.dark = false
			i.end(true)
			s.w.After(time.Second, repeated)
		})
		return
	}
	i.end(true)
	if f.For >= 0 {
		s.w.After(f.For, repeated)
	}
}

// renew replaces replicas one after the other: the old one drains, a new one comes where there is an address.
func (s *site) renew(is []*Instance) {
	if len(is) == 0 {
		return
	}
	old, w := is[0], s.w
	old.drain()
	w.After(2*time.Second, func() { s.launch(old.service, old.Zone, s.address(old.service), old.pace, true) })
	w.After(time.Second, func() { s.renew(is[1:]) })
}

// address gives one that a replica, of another service if possible, held before and that is free long enough; or a new one.
func (s *site) address(o *ServiceSpec) string {
	free := func(i *Instance) bool {
		return !i.up && s.at[i.Addr] == i && s.w.Now-i.ends > reuseAfter && i.service != o
	}
	if at := slices.IndexFunc(s.instances, free); at >= 0 {
		return s.instances[at].Addr
	}
	s.born++
	return fmt.Sprintf("10.10.0.%d:8080", s.born)
}
