package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// platform lists the replicas that stand in for model replicas.
type platform struct {
	record   *record
	fleet    *fleet
	lock     sync.Mutex
	replicas []*replica
}

func newPlatform(rec *record, f *fleet) *platform { return &platform{record: rec, fleet: f} }

// listed is a row of the list as the platform writes it.
type listed struct {
	InstanceID        string           `json:"instanceId"`
	TargetService     string           `json:"targetService"`
	Address           string           `json:"address"`
	Zone              string           `json:"zone"`
	Revision          string           `json:"revision"`
	CapacitySlots     int              `json:"capacitySlots"`
	LifecycleState    string           `json:"lifecycleState"`
	WarmupRemainingMs int64            `json:"warmupRemainingMs"`
	Stage             string           `json:"stage"`
	Models            []map[string]any `json:"models"`
}

// add starts a replica on an address of its own.
func (p *platform) add(service, zone string, work behavior) (*replica, error) {
	p.lock.Lock()
	defer p.lock.Unlock()
	at := len(p.replicas)
	r := &replica{record: p.record, instance: fmt.Sprintf("i-%04x", at+1), service: service, zone: zone, behavior: work}
	lis, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", p.fleet.network, firstReplica+at, replicaPort))
	if err != nil {
		return nil, err
	}
	r.address = lis.Addr().String()
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(lis) }()
	p.replicas = append(p.replicas, r)
	p.record.say("replica %s of %s serves in %s", r.instance, service, zone)
	return r, nil
}

// all gives the replicas that have been started.
func (p *platform) all() []*replica {
	p.lock.Lock()
	defer p.lock.Unlock()
	return append([]*replica(nil), p.replicas...)
}

func (p *platform) serve() error {
	lis, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", p.fleet.network, platformHost, platformPort))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", p.list)
	go func() { _ = http.Serve(lis, mux) }()
	return nil
}

func (p *platform) list(w http.ResponseWriter, _ *http.Request) {
	rows := []listed{}
	for _, r := range p.all() {
		if r.gone.Load() {
			continue
		}
		rows = append(rows, listed{
			InstanceID: r.instance, TargetService: r.service, Address: r.address, Zone: r.zone, Revision: "v1", CapacitySlots: 128,
			LifecycleState: "ready", WarmupRemainingMs: max(time.Until(r.coldUntil()).Milliseconds(), 0), Stage: "both",
			Models: []map[string]any{{"name": "m", "revision": 1, "adapters": []string{}}},
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": rows, "nextPageToken": nil})
}
