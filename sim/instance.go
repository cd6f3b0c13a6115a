package sim

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/sim/engine"
	"github.com/mallowbridge/mallowbridge/sim/shape"
)

// Instance is one incarnation of a site's replica at an address.
type Instance struct {
	s        *site
	ID, Addr string
	Zone     string
	service  *ServiceSpec
	// slowdown multiplies the time of everything that the instance does.
	slowdown float64
	engine   *engine.Engine
	// While unreachable is set, the instance receives and sends nothing, but its connections stay open.
	up, unreachable bool
	startedAt       time.Duration
	// drainingSince and endedAt are never until the instance drains or ends.
	drainingSince time.Duration
	endedAt       time.Duration
	// crashed is set if the instance ended by a crash; the platform's list then contains it for crashListedFor longer.
	crashed bool
	// warmupFrom and warmupUntil are the start and the end of the newest warm-up.
	warmupFrom  time.Duration
	warmupUntil time.Duration
	sockets     []*socket
	arrivals    []requestArrival
	corruption  responseCorruption
}

// requestArrival is when a request to an instance was sent and when it arrived.
type requestArrival struct{ sent, at time.Duration }

// responseCorruption corrupts on average one in oneIn responses; 0 means none. The response, by kind: "cut" ends with a reset in the middle,
// "inside" ends in the middle of an event, with correct HTTP framing, "junk" is not HTTP, "reset" is a reset, "silent" never arrives, and
// "surplus" and "late" are followed by a second response, "late" after up to 300 ms.
type responseCorruption struct {
	oneIn int
	kind  string
}

const (
	// never is the time of an event that has not happened.
	never = time.Duration(1<<62 - 1)
	// crashListedFor is how long the platform's list still contains a crashed instance.
	crashListedFor = 1500 * time.Millisecond
	// On average one in closeOneIn responses announces that its connection will be closed.
	closeOneIn = 50
)

// launch starts an instance at an address. Without warmUp, the instance counts as having run for a minute already.
func (s *site) launch(service *ServiceSpec, zone, addr string, slowdown float64, warmUp bool) *Instance {
	s.lastInstanceID++
	i := &Instance{
		s: s, ID: fmt.Sprintf("i-%d", s.lastInstanceID), Addr: addr, Zone: zone, service: service, slowdown: slowdown, engine: engine.New(&s.w.Queue, service.Spec),
		up: true, startedAt: s.w.Now, drainingSince: never, endedAt: never,
	}
	i.engine.Slowdown = func() float64 {
		if s.w.Now < i.warmupUntil {
			return i.slowdown * 2
		}
		return i.slowdown
	}
	if warmUp {
		i.startWarmup()
	} else {
		i.startedAt = -time.Minute
	}
	s.instanceAt[addr] = i
	s.instances = append(s.instances, i)
	return i
}

// startWarmup starts a warm-up, or extends the current one.
func (i *Instance) startWarmup() {
	if i.s.w.Now >= i.warmupUntil {
		i.warmupFrom = i.s.w.Now
	}
	i.warmupUntil = i.s.w.Now + i.service.WarmupTime
}

func (i *Instance) warmingUp() bool {
	return i.service.WarmupRate > 0 && i.s.w.Now < i.warmupUntil
}

// drain makes the list show the instance as draining; the instance serves for 500 ms longer than the rules require.
func (i *Instance) drain() {
	if !i.up || i.drainingSince != never {
		return
	}
	i.drainingSince = i.s.w.Now
	i.s.w.Tracef("%s at %s drains", i.ID, i.Addr)
	i.s.w.After(listStaleness+i.s.spec.Bounds.Drain+500*time.Millisecond, func() { i.stop(false) })
}

// stop ends the incarnation, planned or as a crash, which the list shows only later.
func (i *Instance) stop(crash bool) {
	if !i.up {
		return
	}
	i.up, i.endedAt, i.crashed = false, i.s.w.Now, crash
	i.s.w.Tracef("%s at %s ends, crash: %v", i.ID, i.Addr, crash)
	i.engine.Stop()
	i.s.addEngineCounters(i)
	for _, k := range i.sockets {
		k.markReplicaFailed()
		k.toNode.send(func() { k.receive(packet{reset: true}) })
	}
	i.sockets = nil
}

// accept accepts a new connection unless too many are open.
func (i *Instance) accept(k *socket) bool {
	if !i.up || len(i.sockets) >= i.service.MaxConns {
		return false
	}
	i.sockets = append(i.sockets, k)
	i.s.report.Dials++
	return true
}

func (i *Instance) connectionClosed(k *socket) {
	i.sockets = slices.DeleteFunc(i.sockets, func(o *socket) bool { return o == k })
	if k.job != nil {
		i.engine.Cancel(k.job)
		k.job = nil
	}
}

func (i *Instance) loadReport() *router.ReplicaLoad {
	running, queued, slots := i.engine.Load()
	return &router.ReplicaLoad{Replica: i.ID, Running: running, Queued: queued, Slots: slots}
}

func (i *Instance) newHead(r *sentRequest, status int) *responseHead {
	h := &responseHead{status: status, attempt: r.attempt, instance: i.ID, load: i.loadReport(), closing: i.drainingSince != never}
	return h
}

// serve handles a request that arrived on a connection. An instance in warm-up crashes if it gets more than three
// times WarmupRate, plus warmupSlack, requests in a second.
func (i *Instance) serve(k *socket, r *sentRequest) {
	if !i.up || i.unreachable {
		return
	}
	w := i.s.w
	if r.targetInstance != "" && r.targetInstance != i.ID {
		h := i.newHead(r, http.StatusMisdirectedRequest)
		h.notExecuted = true
		i.s.report.WrongInstance++
		k.respond(packet{head: h, end: true})
		return
	}
	i.s.rules.requestArrived(i, r)
	i.arrivals = append(i.arrivals, requestArrival{sent: r.sent, at: w.Now})
	if i.warmingUp() && i.arrivalsInLastSecond() > 3*int(i.service.WarmupRate)+warmupSlack {
		i.stop(true)
		return
	}
	j := i.newJob(k, r)
	if !i.engine.Submit(j) {
		i.reject(k, r)
		return
	}
	k.job = j
}

func (i *Instance) arrivalsInLastSecond() int {
	var n int
	for k := len(i.arrivals) - 1; k >= 0 && i.s.w.Now-i.arrivals[k].at < time.Second; k-- {
		n++
	}
	return n
}

// reject responds that the request was not run.
func (i *Instance) reject(k *socket, r *sentRequest) {
	h := i.newHead(r, http.StatusServiceUnavailable)
	h.notExecuted = true
	k.respond(packet{head: h, end: true})
}

// listRow is the instance's row in the platform's list as of the time at.
func (i *Instance) listRow(at time.Duration) router.Instance {
	r := router.Instance{
		ID: i.ID, Service: i.service.Name, Addr: i.Addr, Zone: i.Zone, Model: shape.ModelName, WeightsRevision: "1", Capacity: i.service.Slots, Draining: i.drainingSince <= at,
	}
	if i.warmupUntil > 0 && i.warmupFrom <= at {
		r.WarmUpRemaining = max(i.warmupUntil-at, 0)
	}
	return r
}

// listedAt reports whether the platform's list as of the time at contains the instance.
func (i *Instance) listedAt(at time.Duration) bool {
	until := i.endedAt
	if i.crashed && until != never {
		until += crashListedFor
	}
	return i.startedAt <= at && at < until
}

// listedAsLeavingAt returns when the list, as read by nodes, first shows the instance as draining or no longer contains it.
func (i *Instance) listedAsLeavingAt() time.Duration {
	at := min(i.drainingSince, i.endedAt)
	if i.crashed && i.drainingSince == never {
		at = i.endedAt + crashListedFor
	}
	if at == never {
		return never
	}
	return at + listStaleness
}
