package request

// Reasons that state a fault of the request itself. Such a request never ran.
const (
	// Malformed means that the request could not be decoded.
	Malformed Reason = "malformed"
	// TooLarge means that the body or the key is over its limit.
	TooLarge Reason = "too_large"
	// UnknownService means that the configuration does not name the service.
	UnknownService Reason = "unknown_service"
	// UnknownTenant means that the configuration does not name the tenant.
	UnknownTenant Reason = "unknown_tenant"
	// IDReused means that the request id belongs to another request.
	IDReused Reason = "id_reused"
)

// AnswerTooLarge means that the request ran and its answer is over the limit of the router.
const AnswerTooLarge Reason = "answer_too_large"
