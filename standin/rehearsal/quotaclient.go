package rehearsal

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/mallowbridge/mallowbridge/platform"
)

// quotaRequest is a request to be sent by one of the clients.
type quotaRequest struct {
	tenant string
	// prompt is the size of the prompt in tokens.
	prompt int
	// path is the path prefix of the route.
	path string
	// withinLimit reports whether the tenant has a limit and has kept below it for at least a quota window.
	withinLimit bool
}

// quotaResponse is the status of the response to a request, or 0 without a response.
type quotaResponse struct {
	status      int
	withinLimit bool
}

const (
	// responseTokens is the number of events of a response.
	responseTokens = 8
	// meanPromptTokens is the mean size of a prompt in tokens.
	meanPromptTokens = 3000
	// demandInterval is the time between two computations of the tenants' demand.
	demandInterval = 10 * time.Millisecond
	// maxPhase bounds how long the demand of the large tenant stays the same.
	maxPhase = 8 * time.Second
)

// clients sends the requests of the tenants through clients that have one connection each. A request for which no client is free is dropped.
func (r *quotaRehearsal) clients(end time.Time) {
	requests := make(chan quotaRequest)
	var all sync.WaitGroup
	for n := range r.Clients {
		c := &quotaClient{keepAliveConn: keepAliveConn{frontends: r.fleet.FrontendAddrs(), rng: r.newRand(uint64(n))}, name: fmt.Sprintf("q%d", n)}
		all.Go(func() {
			for q := range requests {
				r.responses <- quotaResponse{status: c.send(q), withinLimit: q.withinLimit}
			}
			c.disconnect()
		})
	}
	d := &demand{rng: r.newRand(demandStream)}
	for now := time.Now(); now.Before(end); now = time.Now() {
		for _, q := range d.requestsUntil(now) {
			select {
			case requests <- q:
			default:
			}
		}
		time.Sleep(demandInterval)
	}
	close(requests)
	all.Wait()
}

// demand generates the requests of the tenants at random.
type demand struct {
	rng  *rand.Rand
	last time.Time
	// phase is the demand of the large tenant until phaseEnd. lastOverload is the last time at which it exceeded its limit.
	phase        demandPhase
	phaseEnd     time.Time
	lastOverload time.Time
}

// demandPhase is the level of the large tenant's demand.
type demandPhase uint8

const (
	idle demandPhase = iota
	normal
	overload
	phaseCount
)

// demandFactor returns the factor by which a tenant's normal demand is multiplied.
func (p demandPhase) demandFactor() float64 {
	return [phaseCount]float64{idle: 0, normal: 1, overload: overloadFactor}[p]
}

// requestsUntil returns the requests that the tenants send between the last call and now.
func (d *demand) requestsUntil(now time.Time) []quotaRequest {
	if now.After(d.phaseEnd) {
		d.phase = demandPhase(d.rng.IntN(int(phaseCount)))
		d.phaseEnd = now.Add(maxPhase/4 + time.Duration(d.rng.Int64N(int64(maxPhase*3/4))))
	}
	if d.last.IsZero() {
		d.last = now
	}
	elapsed := now.Sub(d.last).Seconds()
	d.last = now
	if d.phase == overload {
		d.lastOverload = now
	}
	withinLimit := now.Sub(d.lastOverload) > quotaRule.Window
	all := d.drawRequests(largeTenant, d.phase.demandFactor()*normalDemandRatio*largeRate*elapsed, withinLimit)
	all = append(all, d.drawRequests(smallTenant, normalDemandRatio*smallRate*elapsed, true)...)
	return append(all, d.drawRequests(unlimitedTenant, unlimitedTenantRate*elapsed, false)...)
}

// drawRequests returns random requests of a tenant that have the given number of prompt tokens on average.
func (d *demand) drawRequests(tenant string, tokens float64, withinLimit bool) []quotaRequest {
	var all []quotaRequest
	for expected := tokens / meanPromptTokens; expected > d.rng.Float64(); expected-- {
		prompt := int(meanPromptTokens * (0.3 + 0.7*min(d.rng.ExpFloat64(), 5)))
		path := []string{resumablePath, oncePath, plainPath}[d.rng.IntN(3)]
		all = append(all, quotaRequest{tenant: tenant, prompt: prompt, path: path, withinLimit: withinLimit})
	}
	return all
}

// quotaClient sends requests on a connection that it keeps open.
type quotaClient struct {
	keepAliveConn
	name string
	sent int
}

// send sends a request once, on a new connection if the previous one broke, and returns the status of the response, or 0 without a complete response.
func (c *quotaClient) send(q quotaRequest) int {
	if c.conn == nil && !c.connect() {
		return 0
	}
	c.sent++
	_ = c.conn.SetDeadline(time.Now().Add(requestTimeout))
	head := fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Length: 2\r\n%s: %s\r\n%s: %s-%d\r\n%s: m\r\n%s: %d,%d\r\n%s: %x:%d\r\n%s: %d\r\n\r\n{}",
		q.path, c.name, hostname, platform.HeaderCredential, apiKeyOf(q.tenant), platform.HeaderAttemptID, c.name, c.sent, platform.HeaderModel,
		platform.HeaderTokenUsage, q.prompt, responseTokens, platform.HeaderPromptPrefix, c.rng.Uint32(), q.prompt, platform.HeaderDeadline, requestTimeout.Milliseconds())
	if _, err := io.WriteString(c.conn, head); err != nil {
		c.disconnect()
		return 0
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: http.MethodPost})
	if err != nil {
		c.disconnect()
		return 0
	}
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		c.disconnect()
		return 0
	}
	if resp.StatusCode == http.StatusTooManyRequests {
		c.backOff(resp.Header.Get("Retry-After"))
	}
	return resp.StatusCode
}

// maxBackoff bounds how long a client backs off after a rejection. Only one in five rejections makes a client wait at all, because most clients ignore
// Retry-After.
const maxBackoff = 100 * time.Millisecond

// backOff waits as long as the Retry-After header says, at most maxBackoff, in one of five cases.
func (c *quotaClient) backOff(retryAfter string) {
	seconds, err := strconv.ParseFloat(retryAfter, 64)
	if err == nil && c.rng.IntN(5) == 0 {
		time.Sleep(min(time.Duration(seconds*float64(time.Second)), maxBackoff))
	}
}
