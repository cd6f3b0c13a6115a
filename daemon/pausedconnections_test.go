package daemon

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/mallowbridge/mallowbridge/platform"
)

// guardedControl is a platform.Control that admits requests only through a PauseGuard, and counts the admitted ones.
type guardedControl struct {
	guard    *PauseGuard
	admitted atomic.Int64
}

func (c *guardedControl) Edit(ctx context.Context, _ string, _ uint64, size int, _ func([]byte) ([]byte, error)) ([]byte, error) {
	var err error
	if _, err = c.guard.Admit(ctx, size); err == nil {
		c.admitted.Add(1)
	}
	return nil, err
}

func (*guardedControl) Get(context.Context) ([]byte, error) { return []byte(`{}`), nil }

func (c *guardedControl) Evacuate(ctx context.Context, _, _ string) error {
	_, err := c.Edit(ctx, "", 0, 0, nil)
	return err
}

func (c *guardedControl) Restore(ctx context.Context, id, zone string) error {
	return c.Evacuate(ctx, id, zone)
}

func TestRequestOnConnectionFromBeforePauseIsRejectedAndConnectionClosed(t *testing.T) {
	var now atomic.Int64
	now.Store(int64(time.Hour))
	g := NewPauseGuard(func() time.Duration { return time.Duration(now.Load()) })
	c := &guardedControl{guard: g}
	routes := bunrouter.New()
	platform.AddRoutes(routes, c, &platform.CachingReader{})
	server := httptest.NewUnstartedServer(routes)
	server.Config.ConnContext = g.ConnContext
	server.Start()
	defer server.Close()
	runFor := func(d time.Duration) {
		for range d / guardTickInterval {
			now.Add(int64(guardTickInterval))
			g.Tick()
		}
	}
	send := func(method string) (int, bool) {
		t.Helper()
		req, err := http.NewRequest(method, server.URL+"/evacuations/a", nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := server.Client().Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		return resp.StatusCode, resp.Close
	}
	if status, _ := send(http.MethodPost); status != 200 || c.admitted.Load() != 1 {
		t.Fatalf("status %d, %d admitted", status, c.admitted.Load())
	}
	now.Add(int64(20 * time.Second))
	for i, connection := range []string{"connection from before the pause", "connection that may have waited to be accepted"} {
		if status, closed := send(http.MethodDelete); status != 503 || !closed || c.admitted.Load() != 1 {
			t.Errorf("%d, %s: status %d, closed %v, %d admitted", i, connection, status, closed, c.admitted.Load())
		}
	}
	runFor(time.Second)
	if status, _ := send(http.MethodDelete); status != 200 || c.admitted.Load() != 2 {
		t.Errorf("a second later: status %d, %d admitted", status, c.admitted.Load())
	}
}
