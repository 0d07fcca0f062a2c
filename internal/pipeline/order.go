package pipeline

// Class is what decides when a request may be handed to the handler.
type Class struct {
	// Idempotent requests run beside others of their connection.
	Idempotent bool
}

// order is the state of the requests of one connection that are not answered yet. It decides which request may start.
type order struct {
	// unanswered is the number of requests that have started and are not answered.
	unanswered int
	// exclusive is set while one of them is not idempotent. It is then the only one.
	exclusive bool
	// closing is set once no further request starts.
	closing bool
}

// mayStart reports whether the next request may start. alone requires that all earlier ones are answered.
func (o *order) mayStart(class Class, alone bool, depth int) bool {
	if o.closing || o.exclusive || o.unanswered >= max(depth, 1) {
		return false
	}
	return o.unanswered == 0 || class.Idempotent && !alone
}

// start records the start of a request.
func (o *order) start(class Class) {
	o.unanswered++
	o.exclusive = !class.Idempotent
}

// answered records that the answer to the earliest request is written.
func (o *order) answered() {
	o.unanswered--
	o.exclusive = false
}
