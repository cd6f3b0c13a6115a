package proxy

import (
	"net/http"
	"strconv"
	"strings"
)

const (
	lastEvent   = "Last-Event-Id"
	eventStream = "text/event-stream"
)

// hopByHop are the headers that concern one connection, besides those its Connection header names, and those that are written anew.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true,
	"Upgrade": true, "Expect": true, "Content-Length": true, "Host": true,
}

func nominated(h http.Header) []string {
	var names []string
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			names = append(names, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}

func isHopByHop(name string, names []string) bool {
	if hopByHop[name] {
		return true
	}
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func first(h http.Header, name string) string {
	if v := h[name]; len(v) > 0 {
		return v[0]
	}
	return ""
}

func addHeader(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// field is a header that replaces whatever the request has of its name; an empty value only takes that away.
type field struct{ name, value string }

// maxRewritten is how many headers are written anew, or taken away, at most.
const maxRewritten = 7

type fields struct {
	all [maxRewritten]field
	n   int
}

func (f *fields) set(name, value string) {
	f.all[f.n] = field{name: name, value: value}
	f.n++
}

func (f *fields) has(name string) bool {
	for _, x := range f.all[:f.n] {
		if x.name == name {
			return true
		}
	}
	return false
}

// requestHead writes the head of a request anew.
func requestHead(b []byte, r *http.Request, bodyLen int, set *fields) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.RequestURI...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = addHeader(b, "Host", r.Host)
	names := nominated(r.Header)
	for name, values := range r.Header {
		if set.has(name) || isHopByHop(name, names) {
			continue
		}
		for _, v := range values {
			b = addHeader(b, name, v)
		}
	}
	for _, x := range set.all[:set.n] {
		if x.value != "" {
			b = addHeader(b, x.name, x.value)
		}
	}
	if bodyLen > 0 || r.ContentLength != 0 || r.Header["Content-Length"] != nil {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(bodyLen), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

func copyHead(dst, src http.Header) {
	names := nominated(src)
	for name, values := range src {
		if !isHopByHop(name, names) {
			dst[name] = values
		}
	}
	if length := src["Content-Length"]; length != nil {
		dst["Content-Length"] = length
	}
	if src["Content-Type"] == nil {
		dst["Content-Type"] = nil
	}
}

func isEventStream(resp *http.Response) bool {
	kind, _, _ := strings.Cut(first(resp.Header, "Content-Type"), ";")
	return resp.StatusCode == http.StatusOK && strings.EqualFold(strings.TrimSpace(kind), eventStream)
}
