package daemon

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/mallowbridge/mallowbridge/control"
)

const (
	// probeTimeout bounds a probe of a replica, from the dial to the end of the response.
	probeTimeout = 400 * time.Millisecond
	// maxProbeBytes is the number of bytes of a response's body that are read at most.
	maxProbeBytes = 64 << 10
)

var probeClient = &http.Client{
	Transport:     &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// loadResponse is a replica's response to GET /v1/usage.
type loadResponse struct {
	InstanceID string `json:"instanceId"`
	// Running is the number of running requests.
	Running  int  `json:"running"`
	Draining bool `json:"leaving"`
	// LagMs is the age of the figures in milliseconds.
	LagMs int `json:"lagMs"`
}

// probe probes a replica and passes the result to the control loop.
func (d *Daemon) probe(p control.Probe) {
	d.submit(probeReplica(p))
}

func probeReplica(p control.Probe) control.Probed {
	res := control.Probed{Replica: p.Replica, Local: p.Local}
	ctx, stop := context.WithTimeout(context.Background(), probeTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Addr+"/v1/usage", nil)
	if err != nil {
		return res
	}
	resp, err := probeClient.Do(req)
	if err != nil {
		return res
	}
	defer resp.Body.Close()
	var load loadResponse
	if resp.StatusCode != http.StatusOK || json.NewDecoder(io.LimitReader(resp.Body, maxProbeBytes)).Decode(&load) != nil {
		return res
	}
	got, ok := load.probed()
	if !ok {
		return res
	}
	got.Replica, got.Local = p.Replica, p.Local
	return got
}

// probed returns the load as a probe result. It returns false if the response is invalid.
func (l loadResponse) probed() (control.Probed, bool) {
	var p control.Probed
	if l.InstanceID == "" || l.Running < 0 || l.LagMs < 0 {
		return p, false
	}
	return control.Probed{
		OK: true, InstanceID: l.InstanceID, Running: l.Running, Draining: l.Draining, Lag: time.Duration(l.LagMs) * time.Millisecond,
	}, true
}
