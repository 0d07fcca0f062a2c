package shape

// decisionPackages compute typed values from typed values and the current time. They do no I/O.
var decisionPackages = []string{
	"internal/admission",
	"internal/callroom",
	"internal/capacity",
	"internal/choice",
	"internal/contention",
	"internal/config",
	"internal/configcheck",
	"internal/egress",
	"internal/feed",
	"internal/handover",
	"internal/heartbeat",
	"internal/intake",
	"internal/keyload",
	"internal/keyrange",
	"internal/keyspace",
	"internal/lease",
	"internal/ledger",
	"internal/limit",
	"internal/outcome",
	"internal/placement",
	"internal/quota",
	"internal/request",
	"internal/retry",
	"internal/route",
	"internal/routed",
	"internal/routing",
	"internal/serving",
	"internal/storeera",
	"internal/tenantauth",
	"internal/wirefields",
}

// peerPackages contain the codec, connections, client and server for one peer each.
var peerPackages = []string{
	"internal/backendserver",
	"internal/caller",
	"internal/node",
	"internal/operator",
	"internal/platformlog",
	"platform/backend",
	"platform/caller",
	"platform/store",
}

// wiringPackages call decision and peer packages, neither of which may import them.
var wiringPackages = []string{"internal/daemon", "internal/engine", "internal/gateway"}

// enclosingPackage returns the package of the list that is the directory or a parent of it, or "".
func enclosingPackage(dir string, packages []string) string {
	for _, p := range packages {
		if dir == p || len(dir) > len(p) && dir[:len(p)+1] == p+"/" {
			return p
		}
	}
	return ""
}
