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

// An Instance is one incarnation of a replica at an address.
type Instance struct {
	s           *site
	ID, Addr    string
	Zone        string
	service     *ServiceSpec
	pace        float64
	engine      *engine.Engine
	up, dark    bool
	startedAt   time.Duration
	leaves      time.Duration
	ends        time.Duration
	lost        bool
	warmupFrom  time.Duration
	warmupUntil time.Duration
	sockets     []*socket
	arrivals    []arrival
	garble      garbling
}

type arrival struct{ sent, at time.Duration }

// A garble spoils the share of answers that Every gives: how is cut, inside, junk, surplus, late, reset or silent.
type garbling struct {
	every int
	how   string
}

const (
	never       = time.Duration(1<<62 - 1)
	lingers     = 1500 * time.Millisecond
	closesEvery = 50
)

func (s *site) launch(o *ServiceSpec, zone, addr string, pace float64, warm bool) *Instance {
	s.born++
	i := &Instance{
		s: s, ID: fmt.Sprintf("i-%d", s.born), Addr: addr, Zone: zone, service: o, pace: pace, engine: engine.New(&s.w.Queue, o.Spec),
		up: true, startedAt: s.w.Now, leaves: never, ends: never,
	}
	i.engine.Slowdown = func() float64 {
		if s.w.Now < i.warmupUntil {
			return i.pace * 2
		}
		return i.pace
	}
	if warm {
		i.chill()
	} else {
		i.startedAt = -time.Minute
	}
	s.at[addr] = i
	s.instances = append(s.instances, i)
	return i
}

func (i *Instance) chill() {
	if i.s.w.Now >= i.warmupUntil {
		i.warmupFrom = i.s.w.Now
	}
	i.warmupUntil = i.s.w.Now + i.service.WarmupTime
}

func (i *Instance) warmingUp() bool {
	return i.service.WarmupRate > 0 && i.s.w.Now < i.warmupUntil
}

// drain has the list show that the instance leaves; it serves on for a little more than it must.
func (i *Instance) drain() {
	if !i.up || i.leaves != never {
		return
	}
	i.leaves = i.s.w.Now
	i.s.w.Tracef("%s at %s drains", i.ID, i.Addr)
	i.s.w.After(listBehind+i.s.spec.Bounds.Drain+500*time.Millisecond, func() { i.end(false) })
}

// end is the end of an incarnation: planned, or as a crash, which the list notices late.
func (i *Instance) end(crash bool) {
	if !i.up {
		return
	}
	i.up, i.ends, i.lost = false, i.s.w.Now, crash
	i.s.w.Tracef("%s at %s ends, crash: %v", i.ID, i.Addr, crash)
	i.engine.Stop()
	i.s.tallied(i)
	for _, k := range i.sockets {
		k.harm()
		k.down.send(func() { k.take(packet{reset: true}) })
	}
	i.sockets = nil
}

// accept takes a new connection, unless too many are open.
func (i *Instance) accept(k *socket) bool {
	if !i.up || len(i.sockets) >= i.service.MaxConns {
		return false
	}
	i.sockets = append(i.sockets, k)
	i.s.report.Dials++
	return true
}

func (i *Instance) hangup(k *socket) {
	i.sockets = slices.DeleteFunc(i.sockets, func(o *socket) bool { return o == k })
	if k.job != nil {
		i.engine.Cancel(k.job)
		k.job = nil
	}
}

func (i *Instance) load() *router.ReplicaLoad {
	running, queued, slots := i.engine.Load()
	return &router.ReplicaLoad{Replica: i.ID, Running: running, Queued: queued, Slots: slots}
}

func (i *Instance) head(r *sentRequest, status int) *head {
	h := &head{status: status, attempt: r.attempt, instance: i.ID, load: i.load(), shut: i.leaves != never}
	return h
}

// serve takes a request that came in on a connection.
func (i *Instance) serve(k *socket, r *sentRequest) {
	if !i.up || i.dark {
		return
	}
	w := i.s.w
	if r.target != "" && r.target != i.ID {
		h := i.head(r, http.StatusMisdirectedRequest)
		h.notRun = true
		i.s.report.WrongInstance++
		k.reply(packet{head: h, end: true})
		return
	}
	i.s.rules.arrived(i, r)
	i.arrivals = append(i.arrivals, arrival{sent: r.sent, at: w.Now})
	if i.warmingUp() && i.recent() > 3*int(i.service.WarmupRate)+warmupSlack {
		i.end(true)
		return
	}
	j := i.job(k, r)
	if !i.engine.Submit(j) {
		i.refuse(k, r)
		return
	}
	k.job = j
}

func (i *Instance) recent() int {
	var n int
	for x := len(i.arrivals) - 1; x >= 0 && i.s.w.Now-i.arrivals[x].at < time.Second; x-- {
		n++
	}
	return n
}

func (i *Instance) refuse(k *socket, r *sentRequest) {
	h := i.head(r, http.StatusServiceUnavailable)
	h.notRun = true
	k.reply(packet{head: h, end: true})
}

func (i *Instance) row(at time.Duration) router.Instance {
	r := router.Instance{
		ID: i.ID, Service: i.service.Name, Addr: i.Addr, Zone: i.Zone, Model: shape.ModelName, Weights: "1", Capacity: i.service.Slots, Draining: i.leaves <= at,
	}
	if i.warmupUntil > 0 && i.warmupFrom <= at {
		r.WarmUpRemaining = max(i.warmupUntil-at, 0)
	}
	return r
}

// listed tells whether the list of that moment names the instance.
func (i *Instance) listed(at time.Duration) bool {
	until := i.ends
	if i.lost && until != never {
		until += lingers
	}
	return i.startedAt <= at && at < until
}

// shown is when the list first shows the instance as leaving or gone.
func (i *Instance) shown() time.Duration {
	at := min(i.leaves, i.ends)
	if i.lost && i.leaves == never {
		at = i.ends + lingers
	}
	if at == never {
		return never
	}
	return at + listBehind
}
