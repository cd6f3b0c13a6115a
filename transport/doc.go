// Package transport carries messages between nodes over TCP.
//
// Messages are encoded with gob and sent in length-prefixed frames (Writer and Reader). A connection starts with a handshake in which both
// sides send a Hello with their build, see Handshake. Listen returns the Endpoint of a node, which accepts connections from other nodes and
// opens one to each node that it sends to. Sends never block: messages that a slow or unreachable peer cannot take are dropped and counted.
package transport
