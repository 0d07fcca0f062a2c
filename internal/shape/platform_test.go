package shape

import (
	"go/ast"
	"go/token"
	"strings"
	"testing"
)

// platformNames are names on the platform's wire that no other interface of the project has.
var platformNames = []string{
	"Heatherreel-Shard-Key", "Heatherreel-Expected-Instance", "Heatherreel-Response-Signature", "Heatherreel-Caller-Service",
	"Heatherreel-Not-Executed", "Heatherreel-Server-Load", "HEATHERREEL_BOOT",
	"/v1/log-", "/v1/instances/", "/v1/ready", "keyed.op", "evacuate/", "cold_remaining_ms", "hold_ms", "path_prefix", "route_type",
	"traffic_split", "allowed_regions", "app_addr", "sharded",
}

// Guards against decisions and wiring that know how the platform spells its messages.
func TestPlatformNamesStayInPlatform(t *testing.T) {
	report(t, sources(t), namesOfPlatform)
}

func namesOfPlatform(f *sourceFile) []fault {
	if f.isTest() || f.within("platform") {
		return nil
	}
	var faults []fault
	ast.Inspect(f.syntax, func(n ast.Node) bool {
		literal, ok := n.(*ast.BasicLit)
		if !ok || literal.Kind != token.STRING {
			return true
		}
		for _, name := range platformNames {
			if strings.Contains(literal.Value, name) {
				faults = append(faults, fault{f, literal.Pos(), "names of the platform stay in platform/: " + name})
			}
		}
		return true
	})
	return faults
}

// Guards against a rule on the platform's names that no longer finds anything.
func TestPlatformNameRuleFindsFaults(t *testing.T) {
	requireFaults(t, "internal/gateway/x.go", "package gateway\nconst field = \"Heatherreel-Shard-Key\" // broken\n", namesOfPlatform)
	requireFaults(t, "platform/header/x.go", "package header\nconst field = \"Heatherreel-Shard-Key\"\n", namesOfPlatform)
}
