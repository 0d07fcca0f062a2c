package shape

// decisionPackages turn typed values and the current time into typed values. They do no I/O.
var decisionPackages = []string{
	"internal/admission",
	"internal/config",
	"internal/handover",
	"internal/keyspace",
	"internal/lease",
	"internal/ledger",
	"internal/limit",
	"internal/outcome",
	"internal/placement",
	"internal/request",
	"internal/retry",
	"internal/routing",
	"internal/serving",
}

// peerPackages hold codec, connections, client and server of one peer each.
var peerPackages = []string{
	"internal/backendserver",
	"internal/caller",
	"internal/node",
	"internal/operator",
	"internal/platformlog",
}

// wiringPackages call decision and peer packages; neither may import them.
var wiringPackages = []string{"internal/daemon", "internal/engine"}

// ownedBy returns the package of the list that holds the directory, or "".
func ownedBy(dir string, packages []string) string {
	for _, p := range packages {
		if dir == p || len(dir) > len(p) && dir[:len(p)+1] == p+"/" {
			return p
		}
	}
	return ""
}
