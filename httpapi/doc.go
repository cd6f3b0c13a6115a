// Package httpapi implements the HTTP interface of a node that runs without a platform: requests to services, operators' calls, health checks,
// status and counters.
//
// A Frontend serves requests to services. It passes each request through a chain of filters, of which the last drives the request's
// router.RequestFlow to its end. Operations serves the other paths; its Routes method adds all paths to a router of package bunrouter. A node
// on a platform, which serves requests through package proxy, adds only the paths of StatusRoutes.
package httpapi
