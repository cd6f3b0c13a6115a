package sim

import (
	"fmt"
	"slices"
	"time"
)

// injectTrafficFault starts a fault of replicas or of the traffic.
func (s *site) injectTrafficFault(f Fault) {
	switch f.Kind {
	case BurstFault:
		s.addBurst(f)
	case HotKey:
		s.generator.surges = append(s.generator.surges, loadSurge{from: s.w.Now, until: s.w.Now + f.For, classIndex: 1, factor: 1, hotRatio: 0.28})
	case ReplicaCrash, ReplicaUnreachable, ReplicaRestart:
		maxInstances := 2
		if len(f.On) > 0 && slices.Contains(s.spec.Shape.Zones, f.On[0]) {
			maxInstances = len(s.instances)
		}
		for _, i := range s.pickInstances(f, maxInstances) {
			s.crashInstance(i, f)
		}
	case ReplicaFreeze:
		for _, i := range s.pickInstances(f, 2) {
			s.freezeReplica(i, f.For)
		}
	case Release:
		s.rollInstances(s.pickInstances(f, 4))
	case ScaleIn:
		for _, i := range s.pickInstances(f, 2) {
			i.drain()
		}
	case ScaleOut:
		for k := range 3 {
			service := &s.spec.Services[0]
			s.launch(service, s.spec.Shape.Zones[k%len(s.spec.Shape.Zones)], s.pickAddress(service), service.Slowdowns[k%len(service.Slowdowns)], true)
		}
	case CorruptResponses:
		s.corruptResponses(f)
	}
}

// addBurst triples the traffic of the classes that the fault names; without names, it multiplies that of all streaming classes by 1.5.
func (s *site) addBurst(f Fault) {
	for i, class := range s.spec.Classes {
		surge := loadSurge{from: s.w.Now, until: s.w.Now + f.For, classIndex: i, factor: 1.5}
		named := slices.Contains(f.On, class.Name)
		if named {
			surge.factor = 3
		}
		if named || (len(f.On) == 0 && class.Streaming) {
			s.generator.surges = append(s.generator.surges, surge)
		}
	}
}

// corruptResponses makes some replicas corrupt some responses, in the way that the fault names first. If it has a second name, all replicas
// corrupt all responses.
func (s *site) corruptResponses(f Fault) {
	kind, oneIn, count := "reset", 25, 6
	if len(f.On) > 0 {
		kind = f.On[0]
	}
	if len(f.On) > 1 {
		oneIn, count = 1, len(s.instances)
	}
	for _, i := range s.pickInstances(Fault{}, count) {
		i.corruption = responseCorruption{oneIn: oneIn, kind: kind}
		s.w.After(f.For, func() { i.corruption = responseCorruption{} })
	}
}

// pickInstances returns up to n random instances, of the service or zone that the fault names, or of any.
func (s *site) pickInstances(f Fault, n int) []*Instance {
	service := ""
	if len(f.On) > 0 {
		service = f.On[0]
	}
	instances := s.activeInstances(service)
	if slices.Contains(s.spec.Shape.Zones, service) {
		instances = slices.DeleteFunc(s.activeInstances(""), func(i *Instance) bool { return i.Zone != service })
	}
	s.rng.Shuffle(len(instances), func(i, j int) { instances[i], instances[j] = instances[j], instances[i] })
	return instances[:min(n, len(instances))]
}

// crashInstance crashes an instance, or makes it unreachable first, and starts another one at its address when the fault ends.
func (s *site) crashInstance(i *Instance, f Fault) {
	for _, k := range i.sockets {
		k.markReplicaFailed()
	}
	relaunch := func() {
		if s.instanceAt[i.Addr] == i {
			s.launch(i.service, i.Zone, i.Addr, i.slowdown, true)
		}
	}
	if f.Kind == ReplicaUnreachable {
		i.unreachable = true
		s.w.After(f.For, func() {
			i.unreachable = false
			i.stop(true)
			s.w.After(time.Second, relaunch)
		})
		return
	}
	i.stop(true)
	if f.For >= 0 {
		s.w.After(f.For, relaunch)
	}
}

// rollInstances replaces instances one after the other: the old one drains, and a new one starts at a free address.
func (s *site) rollInstances(instances []*Instance) {
	if len(instances) == 0 {
		return
	}
	old, w := instances[0], s.w
	old.drain()
	w.After(2*time.Second, func() { s.launch(old.service, old.Zone, s.pickAddress(old.service), old.slowdown, true) })
	w.After(time.Second, func() { s.rollInstances(instances[1:]) })
}

// pickAddress returns an address that an instance of another service had until addressReuseAfter ago, or a new one.
func (s *site) pickAddress(service *ServiceSpec) string {
	isFree := func(i *Instance) bool {
		return !i.up && s.instanceAt[i.Addr] == i && s.w.Now-i.endedAt > addressReuseAfter && i.service != service
	}
	if at := slices.IndexFunc(s.instances, isFree); at >= 0 {
		return s.instances[at].Addr
	}
	s.lastInstanceID++
	return fmt.Sprintf("10.10.0.%d:8080", s.lastInstanceID)
}
