package rehearsal

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// serviceName is the name of the only service.
const serviceName = "llm"

// replicaSet is the set of replicas of a platform.
type replicaSet struct {
	all []*Replica
	// started counts all replicas that were ever started, weights is the version of the model weights that the next one serves.
	started int
	weights uint64
}

// Platform is a stand-in for the platform's list of replicas. It starts, replaces and crashes the replicas that it lists.
type Platform struct {
	Addr   string
	faults FaultRates
	seed   uint64
	onRun  func(run ReplicaRun)
	server *http.Server
	// state contains the replica set while no goroutine uses it. A goroutine that receives the set owns it until it sends it back.
	state chan *replicaSet
}

// drainTime is how long a replica continues to serve after the list shows it as draining.
const drainTime = 1500 * time.Millisecond

// StartPlatform starts n replicas and serves their list until Stop. If onRun is not nil, it is called for each request that a replica starts to run.
func StartPlatform(n int, seed uint64, faults FaultRates, onRun func(run ReplicaRun)) (*Platform, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Platform{Addr: lis.Addr().String(), faults: faults, seed: seed, onRun: onRun, state: make(chan *replicaSet, 1)}
	state := &replicaSet{weights: 1}
	for range n {
		if err := p.add(state); err != nil {
			return nil, err
		}
	}
	p.state <- state
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", p.serveList)
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = p.server.Serve(lis) }()
	return p, nil
}

// Stop stops all replicas and stops serving the list.
func (p *Platform) Stop() {
	state := <-p.state
	for _, r := range state.all {
		r.Stop()
	}
	p.state <- state
	_ = p.server.Close()
}

// add starts a replica and adds it to the set.
func (p *Platform) add(state *replicaSet) error {
	state.started++
	r, err := StartReplica(instanceName(state.started), state.weights, p.seed+uint64(state.started), p.faults, p.onRun)
	if err != nil {
		return err
	}
	r.zone = zoneOf(state.started)
	state.all = append(state.all, r)
	return nil
}

// Release replaces a replica, in a third of all cases by one with the next version of the weights. The new replica starts at once; the old one is
// listed as draining and stops after drainTime. A replica that is already draining is not replaced again.
func (p *Platform) Release(at int) error {
	state := <-p.state
	defer func() { p.state <- state }()
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

// Crash stops a replica at once. The crashed replica stays listed, as draining, for drainTime. Another replica starts in its place, unless it was
// already draining and had been replaced.
func (p *Platform) Crash(at int) error {
	state := <-p.state
	defer func() { p.state <- state }()
	old := state.all[at%len(state.all)]
	old.Stop()
	time.AfterFunc(drainTime, func() { p.remove(old) })
	if old.draining.Swap(true) {
		return nil
	}
	return p.add(state)
}

// remove stops a replica and removes it from the list.
func (p *Platform) remove(old *Replica) {
	state := <-p.state
	defer func() { p.state <- state }()
	old.Stop()
	for i, r := range state.all {
		if r == old {
			state.all = append(state.all[:i:i], state.all[i+1:]...)
			return
		}
	}
}

// listedModel and listedReplica are parts of the list in the platform's JSON format.
type listedModel struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

type listedReplica struct {
	InstanceID        string        `json:"instanceId"`
	TargetService     string        `json:"targetService"`
	Address           string        `json:"address"`
	Zone              string        `json:"zone"`
	Revision          string        `json:"revision"`
	CapacitySlots     int           `json:"capacitySlots"`
	LifecycleState    string        `json:"lifecycleState"`
	WarmupRemainingMs int           `json:"warmupRemainingMs"`
	Models            []listedModel `json:"models"`
}

// capacitySlots is the listed number of requests that a replica can run at once.
const capacitySlots = 64

func (p *Platform) serveList(w http.ResponseWriter, _ *http.Request) {
	state := <-p.state
	rows := []listedReplica{}
	for _, r := range state.all {
		rows = append(rows, listedReplica{
			InstanceID: r.Instance, TargetService: serviceName, Address: r.Addr, Zone: r.zone, Revision: "v1", CapacitySlots: capacitySlots,
			LifecycleState: r.lifecycleState(), Models: []listedModel{{Name: "m", Revision: r.WeightVersion}},
		})
	}
	p.state <- state
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": rows, "nextPageToken": nil})
}
