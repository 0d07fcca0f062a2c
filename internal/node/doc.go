// Package node talks to the other nodes of the system: requests and releases over drpc, lease messages over UDP.
//
// It holds the codec, the connections, the client and the server; it decides nothing. A drpc connection carries one
// call at a time, so that an answer cannot belong to another call. A connection on which a call failed, fell silent
// or missed its deadline is closed and never used again; docs/connections.md has the rules.
package node
