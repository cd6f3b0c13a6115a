package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
)

// manyRoutes returns a configuration of 2,500 routes, one of which depends on the version.
func manyRoutes(version uint64) *config.Snapshot {
	p := &config.Snapshot{Version: version}
	for i := range 20 {
		p.Config.Services = append(p.Config.Services, config.Service{Name: fmt.Sprint("o", i), Discovered: true, Queues: true})
	}
	for i := range 2500 {
		r := config.Route{
			Name: fmt.Sprintf("route-%06d", i), Host: fmt.Sprintf("host%d.example", i%40), Prefix: fmt.Sprintf("/area/%d/part/%d/", i%37, i*7919),
			TrafficSplit: []config.WeightedService{{Service: fmt.Sprint("o", i%20), Weight: 1}}, Timeout: time.Second, MaxAttempts: 2,
		}
		if i == 1250 {
			r.Timeout += time.Duration(version) * time.Millisecond
		}
		p.Config.Routes = append(p.Config.Routes, r)
	}
	return p
}

// BenchmarkSnapshotOfManyRoutes measures how long a router takes to apply a snapshot in which one of 2,500 routes changed.
func BenchmarkSnapshotOfManyRoutes(b *testing.B) {
	r := New(Defaults("n", "b", "z"))
	a, c := manyRoutes(1), manyRoutes(2)
	version := uint64(0)
	for b.Loop() {
		version++
		p := *a
		if version%2 == 0 {
			p = *c
		}
		p.Version = version
		r.Step(time.Duration(version)*time.Millisecond, SnapshotUpdate{Snapshot: &p})
	}
}
