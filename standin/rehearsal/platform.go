package rehearsal

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// service is the name of the only service.
const service = "llm"

// replicas are those of a platform, by the goroutine that holds them.
type replicas struct {
	all []*Replica
	// started counts all that ever began, weights is the version that the next one has.
	started int
	weights uint64
}

// Platform lists stand-in replicas, which it starts, replaces and crashes.
type Platform struct {
	Addr   string
	faults FaultRates
	seed   uint64
	ran    func(run ReplicaRun)
	server *http.Server
	owner  chan *replicas
}

// drainTime is how long a replica serves on after the list shows it as draining.
const drainTime = 1500 * time.Millisecond

// StartPlatform starts n replicas and serves their list until Stop; ran, if any, sees each request that a replica begins to run.
func StartPlatform(n int, seed uint64, faults FaultRates, ran func(run ReplicaRun)) (*Platform, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Platform{Addr: lis.Addr().String(), faults: faults, seed: seed, ran: ran, owner: make(chan *replicas, 1)}
	state := &replicas{weights: 1}
	for range n {
		if err := p.add(state); err != nil {
			return nil, err
		}
	}
	p.owner <- state
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", p.list)
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = p.server.Serve(lis) }()
	return p, nil
}

// Stop ends the list and all replicas.
func (p *Platform) Stop() {
	state := <-p.owner
	for _, r := range state.all {
		r.Stop()
	}
	p.owner <- state
	_ = p.server.Close()
}

func (p *Platform) add(state *replicas) error {
	state.started++
	r, err := StartReplica(instanceName(state.started), state.weights, p.seed+uint64(state.started), p.faults, p.ran)
	if err != nil {
		return err
	}
	r.zone = zoneOf(state.started)
	state.all = append(state.all, r)
	return nil
}

// Release replaces a replica by one of the next version of the weights: the new one starts first, the old one drains and ends.
func (p *Platform) Release(at int) error {
	state := <-p.owner
	defer func() { p.owner <- state }()
	old := state.all[at%len(state.all)]
	if old.draining.Swap(true) {
		return nil
	}
	if at%3 == 0 {
		state.weights++
	}
	time.AfterFunc(drainTime, func() { p.remove(old) })
	return p.add(state)
}

// Crash ends a replica at once; another takes its place.
func (p *Platform) Crash(at int) error {
	state := <-p.owner
	defer func() { p.owner <- state }()
	old := state.all[at%len(state.all)]
	old.Stop()
	time.AfterFunc(drainTime, func() { p.remove(old) })
	if old.draining.Swap(true) {
		return nil
	}
	return p.add(state)
}

func (p *Platform) remove(old *Replica) {
	state := <-p.owner
	defer func() { p.owner <- state }()
	old.Stop()
	for i, r := range state.all {
		if r == old {
			state.all = append(state.all[:i:i], state.all[i+1:]...)
			return
		}
	}
}

// model and listed are parts of the list as the platform writes it.
type model struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

type listed struct {
	InstanceID        string  `json:"instanceId"`
	TargetService     string  `json:"targetService"`
	Address           string  `json:"address"`
	Zone              string  `json:"zone"`
	Revision          string  `json:"revision"`
	CapacitySlots     int     `json:"capacitySlots"`
	LifecycleState    string  `json:"lifecycleState"`
	WarmupRemainingMs int     `json:"warmupRemainingMs"`
	Models            []model `json:"models"`
}

// slots is how many requests a replica runs at once, as listed.
const slots = 64

func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	state := <-p.owner
	rows := []listed{}
	for _, r := range state.all {
		rows = append(rows, listed{
			InstanceID: r.Instance, TargetService: service, Address: r.Addr, Zone: r.zone, Revision: "v1", CapacitySlots: slots,
			LifecycleState: r.state(), Models: []model{{Name: "m", Revision: r.WeightVersion}},
		})
	}
	p.owner <- state
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": rows, "nextPageToken": nil})
}
