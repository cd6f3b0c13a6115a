package httpapi_test

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
)

func TestRequestValidation(t *testing.T) {
	f := newFixture(t, true)
	post := func(path, id, prefix, body string) int {
		req, err := http.NewRequest(http.MethodPost, f.srv.URL+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		if id != "" {
			req.Header.Set("X-Request-Id", id)
		}
		req.Header.Set("X-Prompt-Prefix", prefix)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	for _, c := range []struct {
		path, id, prefix, body string
		want                   int
	}{
		{"/v1/offers/o/again", "", "", "{}", 400}, {"/v1/offers/o/again", "a", "", "{", 400}, {"/v1/offers/o/again", "b", "x", "{}", 404},
		{"/v1/offers/o/nosuch", "c", "", "{}", 404}, {"/v1/offers/nosuch/again", "d", "", "{}", 404},
		{"/v1/offers/o/again", "e", "", `"` + strings.Repeat("x", 5000) + `"`, 413}, {"/v1/offers/o/again", "f", "p/10", "{}", 200},
	} {
		if got := post(c.path, c.id, c.prefix, c.body); got != c.want {
			t.Errorf("%+v: status %d", c, got)
		}
	}
	f.frontend.StopAdmitting()
	if got := post("/v1/offers/o/again", "z", "", "{}"); got != 503 {
		t.Errorf("a draining frontend: status %d", got)
	}
}

func TestRequestsBeyondMaxStreamsAreRejected(t *testing.T) {
	f := newFixture(t, true)
	post := func(id string, body io.Reader) int {
		req, err := http.NewRequest(http.MethodPost, f.srv.URL+"/v1/offers/o/again", body)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Request-Id", id)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Error(err)
			return 0
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	var slow [2]*io.PipeWriter
	done := make(chan int)
	for i := range slow {
		body, w := io.Pipe()
		slow[i] = w
		go func() { done <- post(fmt.Sprintf("slow-%d", i), body) }()
		if _, err := w.Write([]byte(`"`)); err != nil {
			t.Fatal(err)
		}
	}
	for f.frontend.RunningRequests() < len(slow) {
		runtime.Gosched()
	}
	body, w := io.Pipe()
	defer w.Close()
	if got := post("third", body); got != http.StatusServiceUnavailable {
		t.Errorf("a third request, with MaxStreams 2: status %d", got)
	}
	for i := range slow {
		_, _ = slow[i].Write([]byte(`"`))
		slow[i].Close()
		if got := <-done; got != http.StatusOK {
			t.Errorf("a request with a slow body: status %d", got)
		}
	}
}
