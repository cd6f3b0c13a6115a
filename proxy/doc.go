// Package proxy is the data path of routes. It reads requests from clients, asks the router where to send them, exchanges each request with
// a replica over reused connections, forwards streams event by event and resumes them at another replica if one breaks off.
//
// Proxy is the http.Handler, and Serve runs it on a listener. Exchange is the state machine of one request: it decides what may be sent,
// retried, resumed or rejected, without any I/O of its own, so that tests and the simulator can run it too. A transfer carries out its
// actions with a connection from the Pool. EventStream parses streams and finds the event to resume after.
package proxy
