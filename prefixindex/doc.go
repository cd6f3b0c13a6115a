// Package prefixindex keeps what one router believes each replica holds in its prefix cache. Entries are predicted when a request is
// routed, confirmed when its first answer arrives, and dropped after a time to live that follows from measured confirmation latency.
package prefixindex
