// Package transport carries gob-encoded messages between nodes over TCP in length-prefixed frames, after a handshake in which both
// sides name their build. Sends never block: what a slow or unreachable peer cannot take is dropped and counted.
package transport
