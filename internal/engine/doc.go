// Package engine runs a node: it connects the packages that make decisions with the clients of its peers, using shared
// tables, jobs on worker pools, and timers.
//
// Tables and their locks, in the order in which the locks may be taken (package lockorder):
//
//	ledgerTable     replayed state and decoded configuration
//	leaseTable      own lease, witnessed leases and claims of this node
//	handoverTable   whether keys whose home regions changed may be served
//	servingTable    slices that this node serves, and the requests running on them
//	backendTable    what is known of the backend server beside this node
//	admissionTable  limit and queue of requests to the backend server
//	outcomeTable    retained outcomes
//	retryBudgets    retry budget of each service
//	waitingJobs, proposals, releaseRequests, releaseWaiters, pendingPlans, forwardLimiter
//	                what waits for an event: a ledger offset, a record, the answer of a peer
//
// A job holds a lock only while it computes. Network calls happen between two locked sections; whatever the first one
// decided is checked again in the second.
package engine
