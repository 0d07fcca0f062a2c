package settings

import (
	"net/netip"

	"heatherreel/internal/problem"
)

// listener is a listen address and the flag that sets it.
type listener struct {
	flag    string
	address netip.AddrPort
}

// contradictions returns one error for each pair of settings that contradict each other. faulty holds the flags of the
// settings that have no valid value; these are skipped.
func contradictions(s Settings, faulty map[string]bool) []error {
	tcpListeners := parsedListeners(faulty,
		listener{"callers-address", s.CallersAddress},
		listener{"nodes-address", s.NodesAddress},
		listener{"backend-address", s.BackendAddress},
		listener{"operators-address", s.OperatorsAddress},
	)
	faults := listenConflicts(tcpListeners)
	if faulty["address"] {
		return faults
	}
	advertisedListeners := parsedListeners(faulty,
		listener{"callers-address", s.CallersAddress},
		listener{"nodes-address", s.NodesAddress},
		listener{"leases-address", s.LeasesAddress},
	)
	return append(faults, reachabilityFaults(s.Address, advertisedListeners)...)
}

// parsedListeners returns the listeners whose value was parsed without a fault.
func parsedListeners(faulty map[string]bool, all ...listener) []listener {
	var parsed []listener
	for _, l := range all {
		if !faulty[l.flag] {
			parsed = append(parsed, l)
		}
	}
	return parsed
}

// listenConflicts returns a fault for each pair of TCP listeners that cannot both be opened.
func listenConflicts(all []listener) []error {
	var faults []error
	for i, first := range all {
		for _, second := range all[i+1:] {
			if overlap(first.address, second.address) {
				faults = append(faults, problem.New(problem.Invalid, "use a different port for each of them",
					"--%s (%s) and --%s (%s) use the same TCP address: %s and %s",
					first.flag, environmentVariableOf(first.flag), second.flag, environmentVariableOf(second.flag),
					first.address, second.address))
			}
		}
	}
	return faults
}

// overlap reports whether two listen addresses conflict: they have the same port, and either the same IP or at least
// one unspecified IP.
func overlap(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

// reachabilityFaults returns a fault for each listener that does not receive traffic to the advertised IP.
func reachabilityFaults(advertised netip.Addr, all []listener) []error {
	var faults []error
	for _, l := range all {
		if !reachableAt(l.address.Addr(), advertised) {
			faults = append(faults, problem.New(problem.Invalid, "listen on the advertised IP or on 0.0.0.0 or [::]",
				"--%s (%s) listens on %s, but --address (%s) advertises %s",
				l.flag, environmentVariableOf(l.flag), l.address, environmentVariableOf("address"), advertised))
		}
	}
	return faults
}

// reachableAt reports whether a listener on the IP listen receives traffic to the IP advertised.
func reachableAt(listen, advertised netip.Addr) bool {
	if listen.IsUnspecified() {
		return listen.Is6() || advertised.Is4()
	}
	return listen == advertised
}

// environmentVariableOf returns the environment variable of a flag.
func environmentVariableOf(flag string) string { return definition{flag: flag}.environmentVariable() }
