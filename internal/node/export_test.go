package node

// Decoders for the fuzz tests.
var (
	DecodeDispatch       = decodeDispatch
	DecodeTopicAnswer    = decodeTopicAnswer
	DecodeDispatchAnswer = decodeDispatchAnswer
)
