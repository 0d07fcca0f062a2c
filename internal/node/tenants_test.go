package node

import (
	"strings"
	"testing"
	"time"

	"heatherreel/internal/routed"
)

// Guards against a tenant that is lost between nodes, and against a key that is sent to another node.
func TestTenantIsSentWithoutKey(t *testing.T) {
	now := time.Now()
	m := encodeDispatch(routed.Request{Tenant: "acme", Authorization: []string{"Bearer secret"}, Identity: []routed.Field{{Name: "Authorization", Value: "Bearer secret"}}}, now, sendTimes{})
	if got := decodeDispatch(m, now, 0); got.Tenant != "acme" || strings.Contains(m.String(), "secret") {
		t.Errorf("sent %v, received tenant %q", m, got.Tenant)
	}
}
