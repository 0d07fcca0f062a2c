// Package lockorder defines the order in which a goroutine may lock the mutexes of the shared tables.
//
// A goroutine that holds a mutex may lock another one only if that has a higher rank; no goroutine therefore holds two
// mutexes of the same rank. With the build tag lockcheck, mutexes check this and panic on a violation.
package lockorder

// Rank is the position of a mutex in the lock order.
type Rank uint8

// Ranks from the outermost to the innermost lock.
const (
	// StoreEra guards the era of the platform's store that the node has seen, while its tables are told of a new one.
	StoreEra Rank = 8
	// Ledger guards the replayed state of the log: members, assignments and configurations.
	Ledger Rank = 10
	// ConfigurationProof guards the proof that the configuration of routes is the newest.
	ConfigurationProof Rank = 11
	// Routes guards the configuration of routes and the evacuations in force.
	Routes Rank = 12
	// Members guards what a node knows about the other instances.
	Members Rank = 14
	// KeyRanges guards the key ownership that was read from the store.
	KeyRanges Rank = 16
	// Feeds guards the records that a node serves to others of its region.
	Feeds Rank = 18
	// Lease guards the state of this node as a lease holder and as a witness.
	Lease Rank = 20
	// Handover guards the decision whether keys whose home regions changed may be served.
	Handover Rank = 25
	// Serving guards the slices that this node serves and the requests that run on them.
	Serving Rank = 30
	// Backend guards what is known about the backend server of this node.
	Backend Rank = 40
	// Egress guards the pacing of large answers.
	Egress Rank = 45
	// Stream guards the number of large bodies that are streamed.
	Stream Rank = 47
	// Admission guards the concurrency limits and queues of requests.
	Admission Rank = 50
	// Outcomes guards the retained outcomes of requests.
	Outcomes Rank = 60
	// Retry guards the retry budgets.
	Retry Rank = 70
	// Quotas guards the credit of tenants and what is lent of it.
	Quotas Rank = 75
	// Calls guards the tables of calls, jobs and plans that wait for an event.
	Calls Rank = 80
	// Timers guards the state of a trigger or of a repeating timer.
	Timers Rank = 85
	// Queue guards the queue of a worker pool.
	Queue Rank = 90
)
