package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// call is an operator's call to a node; status 0 where no answer came within a second.
func (w *world) call(i int, method, path, ifMatch, body string) (int, string) {
	return w.callAt(w.fleet.control(i), w.fleet.nodes[i].name, method, path, ifMatch, body)
}

func (w *world) callAt(address, name, method, path, ifMatch, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if ifMatch != "" {
		req.Header.Set("If-Match", ifMatch)
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		w.record.say("operator: %s %s at %s: no answer: %v", method, path, name, err)
		return 0, err.Error()
	}
	defer resp.Body.Close()
	said, _ := io.ReadAll(resp.Body)
	w.record.say("operator: %s %s at %s: %d", method, path, name, resp.StatusCode)
	return resp.StatusCode, string(said)
}

// order sends a call until a node takes it, at the nodes in turn.
func (w *world) order(from int, method, path, ifMatch, body string) error {
	for try := range 20 {
		status, said := w.call((from+try)%len(w.fleet.nodes), method, path, ifMatch, body)
		if status == http.StatusOK {
			return nil
		}
		if status >= 400 && status < 500 && status != 408 && status != 429 {
			return fmt.Errorf("%s %s: %d %s", method, path, status, said)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("%s %s is not taken", method, path)
}

// route is an item of a configuration.
type route struct {
	Name            string `json:"name"`
	Hostname        string `json:"hostname"`
	PathPrefix      string `json:"pathPrefix"`
	RouteType       string `json:"routeType"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	TargetService   string `json:"targetService"`
	MaxAttempts     int    `json:"maxAttempts"`
	SessionAffinity bool   `json:"sessionAffinity"`
	StreamResume    bool   `json:"streamResume"`
	TargetGapMs     int    `json:"targetGapMs"`
}

// host is the name under which clients ask.
const host = "ficu95.example"

// configuration is a document with one service.
func configuration(revision, maxHeaderBytes int, warmupS float64, routes ...route) string {
	document := map[string]any{
		"revision": revision, "routes": routes,
		"services": []map[string]any{{
			"name": "huvo11a", "healthCheckPath": "/health", "maxConnections": 640, "protocol": "h1", "tlsEnabled": false,
			"warmupS": warmupS, "warmupPerS": 20.0,
		}},
		"limits": map[string]any{"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	raw, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	return string(raw)
}

// patch is a change that replaces a route.
func patch(revision int, r route) string {
	raw, err := json.Marshal(map[string]any{"revision": revision, "upsert": map[string]any{"routes": []route{r}}})
	if err != nil {
		panic(err)
	}
	return string(raw)
}
