// Package rehearsal runs nodes of the platform as real processes over real sockets, under streams, and breaks what is around them: replicas
// that end their answers at any byte, releases with new weights, processes that are killed or told to end, clients that read slowly, leave
// early or speak HTTP/1.0. What its clients got is written to a ledger, which package ledger judges.
package rehearsal
