package ferry

import (
	"net/http"
	"strconv"
	"strings"
)

const lastEvent = "Last-Event-Id"

var hops = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true,
	"Upgrade": true, "Expect": true, "Content-Length": true, "Host": true,
}

// named gives the headers that concern one connection because its Connection header lists them.
func named(h http.Header) (names []string) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			names = append(names, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}

func hop(name string, names []string) (yes bool) {
	if hops[name] {
		return true
	}
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func addHeader(b []byte, name, value string) (out []byte) {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// requestHead writes the head of a request anew; set replaces headers by name.
func requestHead(r *http.Request, bodyLen int, set map[string]string) (b []byte) {
	b = make([]byte, 0, 1024+min(bodyLen, joined))
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.RequestURI...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = addHeader(b, "Host", r.Host)
	names := named(r.Header)
	for name, values := range r.Header {
		if _, anew := set[name]; anew || hop(name, names) {
			continue
		}
		for _, v := range values {
			b = addHeader(b, name, v)
		}
	}
	for name, v := range set {
		b = addHeader(b, name, v)
	}
	if bodyLen > 0 || r.ContentLength != 0 || r.Header["Content-Length"] != nil {
		b = addHeader(b, "Content-Length", strconv.Itoa(bodyLen))
	}
	return append(b, "\r\n"...)
}

func copyHead(dst, src http.Header) {
	names := named(src)
	for name, values := range src {
		if !hop(name, names) {
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
