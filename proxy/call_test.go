package proxy_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func call(t *testing.T, url, id, body string) reply {
	t.Helper()
	req, err := http.NewRequest("POST", url+"/a/b%2Fc?x=1%20y", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Attempt", id)
	return do(t, req)
}

// callWith asks with headers of the test's own, without a body.
func callWith(t *testing.T, url string, h http.Header) reply {
	t.Helper()
	req, err := http.NewRequest("POST", url+"/a/b%2Fc?x=1%20y", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	req.Header = h
	return do(t, req)
}

func do(t *testing.T, req *http.Request) reply {
	t.Helper()
	req.Host = "Some.example:80"
	req.Header.Set("X-Wait-Ms", "60000")
	resp, err := (&http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}).Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(text), err: err}
}
