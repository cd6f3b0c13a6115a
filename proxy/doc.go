// Package proxy is the data path of routes: it reads requests from clients, asks the router for placements, exchanges each request with
// a replica over kept connections, passes streams on event by event and resumes them. The exchange itself is a pure state machine; the
// rest of the package is the I/O around it.
package proxy
