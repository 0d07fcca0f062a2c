// Package tenantauth decides which tenant a request belongs to, from the API key that it carries, the table of tenants in
// force and the age of the proof that this table was the newest one.
//
// Keys are kept only as digests. A Table does not change after Build, so it is safe for concurrent reads.
package tenantauth

import (
	"crypto/hmac"
	"crypto/sha256"
	"slices"
	"strings"
	"time"

	"heatherreel/internal/problem"
	"heatherreel/internal/request"
)

const (
	// maxKeyBytes is the longest key that identifies a tenant; a longer one counts as missing.
	maxKeyBytes = 512
	// maxRate bounds the rate and the burst of a tenant. It is above the 4.7 million requests a second of all tenants
	// together, and low enough that sums of limits keep their precision.
	maxRate = 10_000_000
	// RefusalProofAge is the age of the proof up to which an unknown key is refused as such. With an older proof the key
	// may be one that was added since.
	RefusalProofAge = 2 * time.Second
	// revocationMargin is the part of the revocation time that covers the drift of clocks, of up to 2 percent each, and
	// the time between the check of a key and the reading of the clock before it.
	revocationMargin = 500 * time.Millisecond
)

// Tenant is the configuration of a tenant.
type Tenant struct {
	Name string
	// Priority takes precedence over that of the route if HasPriority is set; 0 is the most urgent.
	Priority    int
	HasPriority bool
	// Rate and Burst limit the requests of the tenant at all nodes together, in requests per second and requests. A rate
	// of zero is no limit.
	Rate, Burst float64
	// Regions are the regions that may serve the tenant; empty for all.
	Regions []string
}

// Entry is a tenant as it was published.
type Entry struct {
	Tenant
	Keys []string
}

// Secret keys the digests of API keys. It is random and belongs to one process.
type Secret [sha256.Size]byte

// digest is the HMAC-SHA-256 of an API key under a secret.
type digest [sha256.Size]byte

// Table holds the tenants of one configuration.
type Table struct {
	secret  Secret
	byKey   map[digest]*Tenant
	tenants map[string]*Tenant
}

const remedy = "publish a corrected configuration"

// Build returns the table of the tenants. It returns a problem.Invalid error that names the first invalid entry by name.
// No error contains a key.
func Build(secret Secret, entries []Entry) (*Table, error) {
	t := &Table{secret: secret, byKey: map[digest]*Tenant{}, tenants: map[string]*Tenant{}}
	entries = slices.Clone(entries)
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	for _, e := range entries {
		if err := validate(e); err != nil {
			return nil, err
		}
		tenant := e.Tenant
		tenant.Priority = min(max(tenant.Priority, 0), int(request.MaxClass))
		t.tenants[e.Name] = &tenant
		for _, key := range e.Keys {
			d := t.digest(key)
			if other := t.byKey[d]; other != nil && other != &tenant {
				return nil, problem.New(problem.Invalid, remedy, "tenants %q and %q have the same key", other.Name, e.Name)
			}
			t.byKey[d] = &tenant
		}
	}
	return t, nil
}

// validate returns an error that describes what is wrong with an entry. A tenant without keys is valid: operators revoke all
// keys of a tenant that way.
func validate(e Entry) error {
	switch {
	case !isFieldValue(e.Name):
		return problem.New(problem.Invalid, remedy, "tenant %q has a name that no header field can hold", e.Name)
	case slices.Contains(e.Keys, ""):
		return problem.New(problem.Invalid, remedy, "tenant %q has an empty key", e.Name)
	case !(e.Rate >= 0 && e.Rate <= maxRate):
		return problem.New(problem.Invalid, remedy, "tenant %q has a rate of %v per second, want 0 to %d", e.Name, e.Rate, maxRate)
	case !(e.Burst >= 0 && e.Burst <= maxRate):
		return problem.New(problem.Invalid, remedy, "tenant %q has a burst of %v, want 0 to %d", e.Name, e.Burst, maxRate)
	}
	return nil
}

// isFieldValue reports whether an HTTP header field can hold the text unchanged.
func isFieldValue(text string) bool {
	return text != "" && text == strings.TrimSpace(text) &&
		!strings.ContainsFunc(text, func(r rune) bool { return r < ' ' || r == 0x7f })
}

func (t *Table) digest(key string) (d digest) {
	h := hmac.New(sha256.New, t.secret[:])
	h.Write([]byte(key))
	h.Sum(d[:0])
	return d
}

// Tenants returns the tenants in the order of their names.
func (t *Table) Tenants() []Tenant {
	all := make([]Tenant, 0, len(t.tenants))
	for _, tenant := range t.tenants {
		all = append(all, *tenant)
	}
	slices.SortFunc(all, func(a, b Tenant) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// WithoutKeys returns the names of the tenants that have no keys.
func (t *Table) WithoutKeys() map[string]bool {
	names := map[string]bool{}
	for name := range t.tenants {
		names[name] = true
	}
	for _, owner := range t.byKey {
		delete(names, owner.Name)
	}
	return names
}

// KeyChanges returns how many keys of a tenant are in t but not in before, and the reverse. Both tables must have been built
// with the same secret.
func (t *Table) KeyChanges(before *Table, tenant string) (added, removed int) {
	missing := func(a, b *Table) (count int) {
		for d, owner := range a.byKey {
			if other := b.byKey[d]; owner.Name == tenant && (other == nil || other.Name != tenant) {
				count++
			}
		}
		return count
	}
	return missing(t, before), missing(before, t)
}

// Request is what identifies the tenant of a request.
type Request struct {
	// Authorization are the values of the header field of that name.
	Authorization []string
	// Anonymous is set if the route needs no key, and Regions are its home regions; empty for all.
	Anonymous bool
	Regions   []string
}

// Proof is what is known about how recent a table is.
type Proof struct {
	// Age is the time since which newer configurations may exist.
	Age time.Duration
	// Revocation is the time after the acknowledgement of a configuration from which a key that it removed admits no
	// request; zero if no such time is guaranteed.
	Revocation time.Duration
}

// admits reports whether a key of the table may still identify a tenant.
func (p Proof) admits() bool {
	return p.Revocation <= 0 || p.Age < p.Revocation-revocationMargin
}

// Decision is the tenant of a request, or why it is refused.
type Decision struct {
	// Tenant is the tenant that the request belongs to; nil if it has none.
	Tenant *Tenant
	// Regions are the regions that may serve the request; empty for all.
	Regions []string
	// Refusal is why the request is refused; empty if it is not.
	Refusal request.Reason
}

// Decide returns the decision on a request.
//
// On an anonymous route, a key that the table holds but that may have been revoked since does not identify its tenant, but
// the regions of the tenant still apply: its requests must not leave them because the store is away.
func (t *Table) Decide(r Request, p Proof) Decision {
	var tenant *Tenant
	if key := bearerKey(r.Authorization); key != "" {
		tenant = t.byKey[t.digest(key)]
	}
	d := Decision{Tenant: tenant, Regions: r.Regions}
	switch {
	case tenant == nil && !r.Anonymous && p.Age <= RefusalProofAge:
		return Decision{Refusal: request.Unauthenticated}
	case tenant == nil && !r.Anonymous:
		return Decision{Refusal: request.ConfigurationStale}
	case tenant == nil:
		return d
	case !p.admits() && !r.Anonymous:
		return Decision{Refusal: request.ConfigurationStale}
	case !p.admits():
		d.Tenant = nil
	}
	var ok bool
	if d.Regions, ok = CommonRegions(r.Regions, tenant.Regions); !ok {
		return Decision{Refusal: request.NoCommonRegion}
	}
	return d
}

// CommonRegions returns the regions that are in both lists, of which an empty one stands for all regions. ok is false if
// there is none.
func CommonRegions(a, b []string) (both []string, ok bool) {
	switch {
	case len(a) == 0:
		return b, true
	case len(b) == 0:
		return a, true
	}
	for _, region := range a {
		if slices.Contains(b, region) {
			both = append(both, region)
		}
	}
	return both, len(both) > 0
}

// bearerKey returns the key in the values of the field Authorization; empty if there is none.
func bearerKey(authorization []string) string {
	if len(authorization) != 1 {
		return ""
	}
	scheme, key, _ := strings.Cut(strings.Trim(authorization[0], " \t"), " ")
	key = strings.Trim(key, " \t")
	if !strings.EqualFold(scheme, "Bearer") || len(key) > maxKeyBytes {
		return ""
	}
	return key
}
