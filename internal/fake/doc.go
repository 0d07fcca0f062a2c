// Package fake implements simple in-memory fakes of the systems around a node: backend servers, the platform's log and
// store, the network between nodes and the source of operator data. Tests and the demo can inject faults into them.
package fake
