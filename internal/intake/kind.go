package intake

// Kind is why a connection or a request of a client was refused or given up.
type Kind uint8

// Kinds of shedding. None is no shedding.
const (
	None Kind = iota
	// ConnectionLimit, ClientLimit and HeadLimit are the limits of connections.
	ConnectionLimit
	ClientLimit
	HeadLimit
	// Memory means that no bytes were left, or that a connection was given up for others.
	Memory
	// SlowHead, SlowBody and SlowReader mean that bytes came, or were taken, too slowly.
	SlowHead
	SlowBody
	SlowReader
	// LargeHead means that a head had too many bytes or fields, and LargeBody that a body was over its limit.
	LargeHead
	LargeBody
	KindCount
)

// String returns the name of the kind in metrics and events.
func (k Kind) String() string {
	return [KindCount]string{"none", "connection_limit", "client_limit", "head_limit", "memory", "slow_head", "slow_body",
		"slow_reader", "large_head", "large_body"}[k]
}

// Costs of a head in memory, in bytes: a short field takes a place in a map, a slice and the list of fields that is routed.
const (
	bytesPerField  = 200
	copiesOfHead   = 3
	bytesOfRequest = 2 << 10
)

// HeadCost returns the memory of a head with a size and a number of fields.
func HeadCost(size, fields int) int64 {
	return bytesOfRequest + copiesOfHead*int64(size) + bytesPerField*int64(fields)
}
