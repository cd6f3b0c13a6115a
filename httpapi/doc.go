// Package httpapi is the product's own HTTP interface: requests to services, operators' calls, status and counters, as chains of filters.
package httpapi
