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
	// probeTimeout bounds a probe of a replica, from the dial to the end of the answer.
	probeTimeout = 400 * time.Millisecond
	// probeBytes is how much of an answer is read.
	probeBytes = 64 << 10
)

var prober = &http.Client{
	Transport:     &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

type usageAnswer struct {
	InstanceID string `json:"instanceId"`
	Running    int    `json:"running"`
	Leaving    bool   `json:"leaving"`
	LagMs      int    `json:"lagMs"`
}

func (h *Daemon) probe(p control.Probe) {
	h.submit(ask(p))
}

func ask(p control.Probe) control.Probed {
	res := control.Probed{Replica: p.Replica, Local: p.Local}
	ctx, stop := context.WithTimeout(context.Background(), probeTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Addr+"/v1/usage", nil)
	if err != nil {
		return res
	}
	resp, err := prober.Do(req)
	if err != nil {
		return res
	}
	defer resp.Body.Close()
	var u usageAnswer
	if resp.StatusCode != http.StatusOK || json.NewDecoder(io.LimitReader(resp.Body, probeBytes)).Decode(&u) != nil {
		return res
	}
	got, ok := u.probed()
	if !ok {
		return res
	}
	got.Replica, got.Local = p.Replica, p.Local
	return got
}

func (u usageAnswer) probed() (control.Probed, bool) {
	var p control.Probed
	if u.InstanceID == "" || u.Running < 0 || u.LagMs < 0 {
		return p, false
	}
	return control.Probed{
		OK: true, InstanceID: u.InstanceID, Running: u.Running, Draining: u.Leaving, Lag: time.Duration(u.LagMs) * time.Millisecond,
	}, true
}
