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

// gated is a fleet that admits orders by its gate and counts those that it took.
type gated struct {
	g     *Gate
	taken atomic.Int64
}

func (f *gated) Edit(ctx context.Context, _ string, _ uint64, size int, _ func([]byte) ([]byte, error)) ([]byte, error) {
	var err error
	if _, err = f.g.Admit(ctx, size); err == nil {
		f.taken.Add(1)
	}
	return nil, err
}

func (*gated) Get(context.Context) ([]byte, error) { return []byte(`{}`), nil }

func (f *gated) Evacuate(ctx context.Context, _, _ string) error {
	_, err := f.Edit(ctx, "", 0, 0, nil)
	return err
}

func (f *gated) Restore(ctx context.Context, id, zone string) error { return f.Evacuate(ctx, id, zone) }

func TestOrderOnConnectionFromBeforePauseIsRejectedAndClosed(t *testing.T) {
	var now atomic.Int64
	now.Store(int64(time.Hour))
	g := NewGate(func() time.Duration { return time.Duration(now.Load()) })
	f := &gated{g: g}
	routes := bunrouter.New()
	platform.AddRoutes(routes, f, &platform.CachingReader{})
	server := httptest.NewUnstartedServer(routes)
	server.Config.ConnContext = g.ConnContext
	server.Start()
	defer server.Close()
	pass := func(d time.Duration) {
		for range d / gateTicks {
			now.Add(int64(gateTicks))
			g.Tick()
		}
	}
	order := func(method string) (int, bool) {
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
	if status, _ := order(http.MethodPost); status != 200 || f.taken.Load() != 1 {
		t.Fatalf("%d, %d taken", status, f.taken.Load())
	}
	now.Add(int64(20 * time.Second))
	for i, what := range []string{"on the connection from before", "on one that may have waited to be accepted"} {
		if status, closed := order(http.MethodDelete); status != 503 || !closed || f.taken.Load() != 1 {
			t.Errorf("%d, %s: %d, closed %v, %d taken", i, what, status, closed, f.taken.Load())
		}
	}
	pass(time.Second)
	if status, _ := order(http.MethodDelete); status != 200 || f.taken.Load() != 2 {
		t.Errorf("a second later: %d, %d taken", status, f.taken.Load())
	}
}
