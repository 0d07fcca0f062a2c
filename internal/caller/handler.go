// Package caller implements the HTTP protocol between callers and nodes: encoding and decoding, the server and the
// client. It makes no decisions about requests; a RequestHandler does.
package caller

import (
	"context"
	"time"

	"heatherreel/internal/config"
	"heatherreel/internal/request"
)

// Limits are the settings that are needed to decode a request.
type Limits struct {
	// DefaultDeadline is the time allowed for a request that has no deadline header.
	DefaultDeadline time.Duration
	// MaxDeadline is the maximum time allowed for a request; a longer one in the deadline header is reduced to it.
	MaxDeadline time.Duration
	// MaxBody is the maximum size of the body, in bytes.
	MaxBody int64
	// IdempotentMethods are the methods that are idempotent if the request has no idempotent header.
	IdempotentMethods config.Methods
	// Class is the class of a request that has no class header.
	Class request.Class
}

// RequestHandler handles the requests of callers. The engine implements it.
type RequestHandler interface {
	// Limits returns the limits of a service and tenant. The tenant is empty if the request names none; if the
	// configuration has tenants, this is a problem.Malformed error. Other errors are problem.UnknownService and
	// problem.UnknownTenant; an error of any other kind means that no configuration is in force.
	Limits(service, tenant string) (Limits, error)
	// Serve returns the answer to r. The context ends when the caller closes its connection.
	Serve(ctx context.Context, r request.Request) request.Answer
}
