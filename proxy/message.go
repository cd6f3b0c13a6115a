package proxy

import (
	"net/http"
	"strconv"
	"strings"
)

const (
	lastEventIDHeader = "Last-Event-Id"
	eventStreamType   = "text/event-stream"
)

// hopByHop are the headers that concern a single connection or that the proxy writes itself. Headers named in a Connection header come in
// addition.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true,
	"Upgrade": true, "Expect": true, "Content-Length": true, "Host": true,
}

// connectionHeaderNames returns the names listed in the Connection headers, which are hop-by-hop too (RFC 9110, section 7.6.1).
func connectionHeaderNames(h http.Header) []string {
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

// headerOverride replaces all headers of its name in the request; an empty value removes them.
type headerOverride struct{ name, value string }

// maxOverrides is the maximum number of headers that are replaced or removed.
const maxOverrides = 7

type headerOverrides struct {
	all [maxOverrides]headerOverride
	n   int
}

func (o *headerOverrides) set(name, value string) {
	o.all[o.n] = headerOverride{name: name, value: value}
	o.n++
}

func (o *headerOverrides) has(name string) bool {
	for _, override := range o.all[:o.n] {
		if override.name == name {
			return true
		}
	}
	return false
}

// requestHead appends the request line and the headers for the replica to b. It keeps the client's headers except for hop-by-hop headers
// and overrides.
func requestHead(b []byte, r *http.Request, bodyLen int, overrides *headerOverrides) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.RequestURI...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = addHeader(b, "Host", r.Host)
	names := connectionHeaderNames(r.Header)
	for name, values := range r.Header {
		if overrides.has(name) || isHopByHop(name, names) {
			continue
		}
		for _, v := range values {
			b = addHeader(b, name, v)
		}
	}
	for _, override := range overrides.all[:overrides.n] {
		if override.value != "" {
			b = addHeader(b, override.name, override.value)
		}
	}
	if bodyLen > 0 || r.ContentLength != 0 || r.Header["Content-Length"] != nil {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(bodyLen), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// copyResponseHeaders copies the headers of a replica's response, without hop-by-hop headers. If the replica sent no Content-Type, it keeps
// net/http from guessing one.
func copyResponseHeaders(dst, src http.Header) {
	names := connectionHeaderNames(src)
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

// isEventStream reports whether the response is a successful stream of server-sent events.
func isEventStream(resp *http.Response) bool {
	kind, _, _ := strings.Cut(first(resp.Header, "Content-Type"), ";")
	return resp.StatusCode == http.StatusOK && strings.EqualFold(strings.TrimSpace(kind), eventStreamType)
}
