package shape

import (
	"go/ast"
	"go/token"
	"strings"
	"testing"
)

// platformNames are names in the platform's protocols that no other interface of the project uses.
var platformNames = []string{
	"Heatherreel-Shard-Key", "Heatherreel-Expected-Instance", "Heatherreel-Response-Signature", "Heatherreel-Caller-Service",
	"Heatherreel-Not-Executed", "Heatherreel-Server-Load", "HEATHERREEL_BOOT",
	"/v1/log-", "/v1/instances/", "/v1/ready", "keyed.op", "evacuate/", "cold_remaining_ms", "hold_ms", "path_prefix", "route_type",
	"traffic_split", "allowed_regions", "app_addr", "sharded",
}

// Guards against packages outside of platform/ that depend on the platform's message formats.
func TestPlatformNamesStayInPlatform(t *testing.T) {
	reportViolations(t, sourceFiles(t), platformNameViolations)
}

func platformNameViolations(f *sourceFile) []violation {
	if f.isTest() || f.inDir("platform") {
		return nil
	}
	var violations []violation
	ast.Inspect(f.syntax, func(n ast.Node) bool {
		literal, ok := n.(*ast.BasicLit)
		if !ok || literal.Kind != token.STRING {
			return true
		}
		for _, name := range platformNames {
			if strings.Contains(literal.Value, name) {
				violations = append(violations, violation{f, literal.Pos(), "names of the platform stay in platform/: " + name})
			}
		}
		return true
	})
	return violations
}

// Guards against a platform name rule that no longer detects violations.
func TestPlatformNameRuleFindsViolations(t *testing.T) {
	requireViolations(t, "internal/gateway/x.go", "package gateway\nconst field = \"Heatherreel-Shard-Key\" // violation\n", platformNameViolations)
	requireViolations(t, "platform/header/x.go", "package header\nconst field = \"Heatherreel-Shard-Key\"\n", platformNameViolations)
}
