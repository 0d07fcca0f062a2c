// Package caller is the HTTP protocol of callers: the codec, the server side and the client side. It makes no
// decisions; a Service does.
package caller

import (
	"context"
	"time"

	"heatherreel/internal/config"
	"heatherreel/internal/request"
)

// Limits are the settings that decoding a request needs.
type Limits struct {
	// DefaultDeadline applies when the caller names none.
	DefaultDeadline time.Duration
	// MaxDeadline bounds what the caller names; a longer time is shortened to it.
	MaxDeadline time.Duration
	// MaxBody bounds the body, in bytes.
	MaxBody int64
	// IdempotentMethods are the methods that are idempotent unless the caller says otherwise.
	IdempotentMethods config.Methods
	// Class applies when the caller names none.
	Class request.Class
}

// Service answers requests.
type Service interface {
	// Limits returns the limits of a service and tenant. The tenant is empty if the request names none; that is a
	// problem.Malformed error if the configuration names tenants. Other errors are problem.UnknownService and
	// problem.UnknownTenant; any further one means that no configuration is in force.
	Limits(service, tenant string) (Limits, error)
	// Serve answers r. The context ends when the caller closes its connection.
	Serve(ctx context.Context, r request.Request) request.Answer
}
