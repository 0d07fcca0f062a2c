// Package node is the protocol between nodes: requests, releases and snapshots over drpc, lease messages over UDP.
//
// It contains the codec, the connection pool, the client and the server. It makes no decisions. A drpc connection
// carries one call at a time, so an answer cannot belong to another call. A connection is closed and never used again
// after a call on it failed, received no data for too long, or missed its deadline; docs/connections.md describes the
// rules.
package node
