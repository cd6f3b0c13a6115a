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

// quotaRequest is what one client is to ask for.
type quotaRequest struct {
	tenant string
	prompt int
	path   string
	// usual: its tenant asks for less than its limit.
	usual bool
}

// quotaAnswer is the status that a request got, 0 for none.
type quotaAnswer struct {
	status int
	usual  bool
}

const (
	// answerTokens is how many events a request brings.
	answerTokens = 8
	// meanPrompt is the mean size of a prompt in tokens.
	meanPrompt = 3000
	// demandStep is the time between two looks at what tenants ask for.
	demandStep = 10 * time.Millisecond
	// longestPhase bounds how long a tenant asks for about the same.
	longestPhase = 8 * time.Second
)

// clients sends what the tenants ask for through clients with connections of their own. What no client is free for is not sent.
func (r *quotaRehearsal) clients(end time.Time) {
	requests := make(chan quotaRequest)
	var all sync.WaitGroup
	for n := range r.Clients {
		c := &quotaClient{keptConnection: keptConnection{fronts: r.fleet.Fronts(), rng: r.stream(uint64(n))}, name: fmt.Sprintf("q%d", n)}
		all.Go(func() {
			for q := range requests {
				r.answers <- quotaAnswer{status: c.ask(q), usual: q.usual}
			}
			c.disconnect()
		})
	}
	d := &demand{rng: r.stream(demandDraws)}
	for now := time.Now(); now.Before(end); now = time.Now() {
		for _, q := range d.due(now) {
			select {
			case requests <- q:
			default:
			}
		}
		time.Sleep(demandStep)
	}
	close(requests)
	all.Wait()
}

// demand draws what tenants ask for.
type demand struct {
	rng  *rand.Rand
	last time.Time
	// phase is what the large tenant asks for until it changes, coolSince when it last asked for more than its limit.
	phase     phase
	changes   time.Time
	coolSince time.Time
}

// phase is how much the large tenant asks for.
type phase uint8

const (
	idle phase = iota
	normal
	hot
	phases
)

// times gives how many times the usual a tenant asks for.
func (p phase) times() float64 { return [phases]float64{idle: 0, normal: 1, hot: hotTimes}[p] }

// due gives the requests since the last call.
func (d *demand) due(now time.Time) []quotaRequest {
	if now.After(d.changes) {
		d.phase = phase(d.rng.IntN(int(phases)))
		d.changes = now.Add(longestPhase/4 + time.Duration(d.rng.Int64N(int64(longestPhase*3/4))))
	}
	if d.last.IsZero() {
		d.last = now
	}
	passed := now.Sub(d.last).Seconds()
	d.last = now
	if d.phase == hot {
		d.coolSince = now
	}
	usual := now.Sub(d.coolSince) > quotaRule.Window
	all := d.draw(largeTenant, d.phase.times()*usualPart*largeRate*passed, usual)
	all = append(all, d.draw(smallTenant, usualPart*smallRate*passed, true)...)
	return append(all, d.draw(freeTenant, freeRate*passed, false)...)
}

func (d *demand) draw(tenant string, tokens float64, usual bool) []quotaRequest {
	var all []quotaRequest
	for expected := tokens / meanPrompt; expected > d.rng.Float64(); expected-- {
		prompt := int(meanPrompt * (0.3 + 0.7*min(d.rng.ExpFloat64(), 5)))
		path := []string{resumablePath, oncePath, plainPath}[d.rng.IntN(3)]
		all = append(all, quotaRequest{tenant: tenant, prompt: prompt, path: path, usual: usual})
	}
	return all
}

// quotaClient asks on a connection that it keeps.
type quotaClient struct {
	keptConnection
	name string
	sent int
}

// ask sends a request once, on a new connection where the kept one broke, and gives the status of its answer.
func (c *quotaClient) ask(q quotaRequest) int {
	if c.conn == nil && !c.connect() {
		return 0
	}
	c.sent++
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	head := fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Length: 2\r\n%s: %s\r\n%s: %s-%d\r\n%s: m\r\n%s: %d,%d\r\n%s: %x:%d\r\n%s: %d\r\n\r\n{}",
		q.path, c.name, host, platform.HeaderCredential, keyOf(q.tenant), platform.HeaderAttemptID, c.name, c.sent, platform.HeaderModel,
		platform.HeaderTokenUsage, q.prompt, answerTokens, platform.HeaderPromptPrefix, c.rng.Uint32(), q.prompt, platform.HeaderDeadline, deadline.Milliseconds())
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

// longestBackoff bounds how long a client waits as told: a tenth of it on average, since most of them don't wait.
const longestBackoff = 100 * time.Millisecond

func (c *quotaClient) backOff(retryAfter string) {
	seconds, err := strconv.ParseFloat(retryAfter, 64)
	if err == nil && c.rng.IntN(5) == 0 {
		time.Sleep(min(time.Duration(seconds*float64(time.Second)), longestBackoff))
	}
}
