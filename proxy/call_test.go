package proxy_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

type receivedResponse struct {
	status int
	header http.Header
	body   string
	err    error
}

func post(t *testing.T, url, id, body string) receivedResponse {
	t.Helper()
	req, err := http.NewRequest("POST", url+"/a/b%2Fc?x=1%20y", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Attempt", id)
	return doRequest(t, req)
}

// postWithHeaders sends a request without a body and with the given headers.
func postWithHeaders(t *testing.T, url string, h http.Header) receivedResponse {
	t.Helper()
	req, err := http.NewRequest("POST", url+"/a/b%2Fc?x=1%20y", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	req.Header = h
	return doRequest(t, req)
}

func doRequest(t *testing.T, req *http.Request) receivedResponse {
	t.Helper()
	req.Host = "Some.example:80"
	req.Header.Set("X-Wait-Ms", "60000")
	resp, err := (&http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}).Do(req)
	if err != nil {
		return receivedResponse{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return receivedResponse{status: resp.StatusCode, header: resp.Header, body: string(text), err: err}
}
