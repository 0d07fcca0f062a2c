package settings

import (
	"net/netip"

	"heatherreel/internal/problem"
)

// listener is one listen address with its flag.
type listener struct {
	flag    string
	address netip.AddrPort
}

// contradictions returns one error for each pair of settings that cannot hold together. Settings in faulty have no
// usable value and are left out.
func contradictions(s Settings, faulty map[string]bool) []error {
	tcp := sound(faulty,
		listener{"callers-address", s.CallersAddress},
		listener{"nodes-address", s.NodesAddress},
		listener{"backend-address", s.BackendAddress},
		listener{"operators-address", s.OperatorsAddress},
	)
	faults := sharedAddresses(tcp)
	if faulty["address"] {
		return faults
	}
	reached := sound(faulty,
		listener{"callers-address", s.CallersAddress},
		listener{"nodes-address", s.NodesAddress},
		listener{"leases-address", s.LeasesAddress},
	)
	return append(faults, unreachable(s.Address, reached)...)
}

// sound returns the listeners whose value was parsed.
func sound(faulty map[string]bool, all ...listener) []listener {
	var usable []listener
	for _, l := range all {
		if !faulty[l.flag] {
			usable = append(usable, l)
		}
	}
	return usable
}

// sharedAddresses returns a fault for each two TCP listeners that cannot both be opened.
func sharedAddresses(all []listener) []error {
	var faults []error
	for i, first := range all {
		for _, second := range all[i+1:] {
			if overlap(first.address, second.address) {
				faults = append(faults, problem.New(problem.Invalid, "give each its own port",
					"--%s (%s) and --%s (%s) use the same TCP address: %s and %s",
					first.flag, environmentOf(first.flag), second.flag, environmentOf(second.flag),
					first.address, second.address))
			}
		}
	}
	return faults
}

// overlap reports whether two listen addresses collide. An unspecified IP collides with every IP.
func overlap(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

// unreachable returns a fault for each listener that connections to the advertised IP do not reach.
func unreachable(advertised netip.Addr, all []listener) []error {
	var faults []error
	for _, l := range all {
		if !receives(l.address.Addr(), advertised) {
			faults = append(faults, problem.New(problem.Invalid, "listen on the advertised IP or on 0.0.0.0 or [::]",
				"--%s (%s) listens on %s, but --address (%s) advertises %s",
				l.flag, environmentOf(l.flag), l.address, environmentOf("address"), advertised))
		}
	}
	return faults
}

// receives reports whether a listener on listen gets what is sent to advertised.
func receives(listen, advertised netip.Addr) bool {
	if listen.IsUnspecified() {
		return listen.Is6() || advertised.Is4()
	}
	return listen == advertised
}

// environmentOf returns the environment variable of a flag.
func environmentOf(flag string) string { return definition{flag: flag}.environment() }
