// Package engine wires the decision packages to the peer packages: shared tables, jobs on worker pools, and timers.
//
// Tables and their locks, in the order in which locks may be taken (package lockorder):
//
//	ledgerTable   replayed state and decoded configuration
//	leaseTable    holder, witnesses and claims of this node
//	servingTable  slices that this node serves, and what runs on them
//	backendTable  what is known of the backend server beside this node
//	admission     limit and queue of requests to the backend server
//	outcomes      retained outcomes
//	retries       retry budgets
//	calls         calls that wait for a ledger offset, proposals that wait for their record
//
// A job takes a lock only while it computes. Network calls happen between two locked sections; whatever was decided in
// the first is checked again in the second.
package engine
