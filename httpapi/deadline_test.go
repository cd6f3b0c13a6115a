package httpapi_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/uptrace/bunrouter"
)

// deadlineRecorder records the deadlines that a handler sets on its connection.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	read, write []time.Time
}

func (d *deadlineRecorder) SetReadDeadline(t time.Time) error {
	d.read = append(d.read, t)
	return nil
}

func (d *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	d.write = append(d.write, t)
	return nil
}

func TestHandlerClearsDeadlinesOfKeepAliveConnections(t *testing.T) {
	f := newFixture(t, true)
	mux := bunrouter.New()
	mux.POST("/v1/offers/:offer/:kind", f.frontend.Handler())
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	req := httptest.NewRequest(http.MethodPost, "/v1/offers/o/again", strings.NewReader("{}"))
	req.Header.Set("X-Request-Id", "q1")
	mux.ServeHTTP(w, req)
	if w.Code != http.StatusOK || len(w.write) < 7 {
		t.Fatalf("status %d, %d write deadlines", w.Code, len(w.write))
	}
	if !w.write[len(w.write)-1].IsZero() {
		t.Error("the last write deadline is not cleared and would apply to the next request")
	}
	if len(w.read) == 0 || !w.read[len(w.read)-1].IsZero() {
		t.Error("the server's read deadline is not cleared and would cancel a long stream")
	}
}
