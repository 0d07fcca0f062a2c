package main

import (
	"fmt"
	"strings"
)

// largeConfiguration returns a configuration document of the target size: three regions, twelve services, 60 tenants
// and 60 exceptions.
func largeConfiguration() string {
	const tenants, exceptions = 60, 60
	var b strings.Builder
	b.WriteString("regions:\n")
	for r := range regionCount {
		fmt.Fprintf(&b, "  region-%d: {data_centres: [region-%d-a, region-%d-b]}\n", r, r, r)
	}
	b.WriteString("services: [")
	for s := range serviceCount {
		fmt.Fprintf(&b, "%s, ", serviceGroup(s).Service)
	}
	b.WriteString("]\ntenants: [")
	for n := range tenants {
		fmt.Fprintf(&b, "tenant-%03d, ", n)
	}
	fmt.Fprintf(&b, "]\ndefaults:\n  home_regions: any\n  deadline: 250ms\n  slices: %d\n  checks_grants: true\n",
		targetMembers/serviceCount*slicesPerMember)
	b.WriteString("exceptions:\n")
	for n := range exceptions {
		fmt.Fprintf(&b, "  - name: tenant-%03d-deadline\n    reason: contract %d names a shorter time for its answers\n", n, n)
		fmt.Fprintf(&b, "    match: {tenant: tenant-%03d}\n    set: {deadline: %dms}\n", n, 100+n)
	}
	return b.String()
}
