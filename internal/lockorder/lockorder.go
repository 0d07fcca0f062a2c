// Package lockorder states the order in which the mutexes of the shared tables may be taken.
//
// A goroutine that holds a mutex may take another only if its rank is higher. Two mutexes of the same rank are never
// held together. With the build tag lockcheck each mutex verifies this and panics on a violation.
package lockorder

// Rank is the place of a mutex in the lock order.
type Rank uint8

// Ranks from the outermost to the innermost lock.
const (
	// Ledger guards the replayed members, assignments and configurations.
	Ledger Rank = 10
	// Routes guards the configuration of routes and the evacuations in force.
	Routes Rank = 12
	// Members guards what a node knows of the other instances.
	Members Rank = 14
	// KeyRanges guards the ownership of keys as read from the store.
	KeyRanges Rank = 16
	// Lease guards the holder and witness state of this node.
	Lease Rank = 20
	// Handover guards whether keys whose home regions changed may be served.
	Handover Rank = 25
	// Serving guards which slices this node serves and what runs on them.
	Serving Rank = 30
	// Backend guards what is known of the backend server beside this node.
	Backend Rank = 40
	// Admission guards limits and queues of requests.
	Admission Rank = 50
	// Outcomes guards the retained outcomes.
	Outcomes Rank = 60
	// Retry guards the retry budgets.
	Retry Rank = 70
	// Calls guards the jobs that wait for an event.
	Calls Rank = 80
	// Timers guards the state of a repeating timer.
	Timers Rank = 85
	// Queue guards the queue of a worker pool.
	Queue Rank = 90
)
