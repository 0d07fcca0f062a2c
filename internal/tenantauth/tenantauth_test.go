package tenantauth

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"heatherreel/internal/problem"
	"heatherreel/internal/request"
)

func entry(name string, keys ...string) Entry { return Entry{Tenant: Tenant{Name: name}, Keys: keys} }

func build(t *testing.T, entries ...Entry) *Table {
	t.Helper()
	table, err := Build(Secret{1}, entries)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// Guards against a request that is taken for a tenant's without its key, one that is refused with it, a 401 from a
// configuration that may be old, and a key that admits requests after its proof has run out.
func TestDecide(t *testing.T) {
	const fresh, old, stale = time.Second, 2001 * time.Millisecond, 4500 * time.Millisecond
	long := strings.Repeat("k", maxKeyBytes)
	table := build(t, entry("a", "key-a", "key-a2", long), entry("b", "key-b", long+"k"))
	for name, c := range map[string]struct {
		authorization []string
		anonymous     bool
		age           time.Duration
		tenant        string
		refusal       request.Reason
	}{
		"known":                      {[]string{"Bearer key-a"}, false, fresh, "a", ""},
		"second key":                 {[]string{"Bearer key-a2"}, false, fresh, "a", ""},
		"scheme in other case":       {[]string{"bEARER  key-b"}, false, fresh, "b", ""},
		"longest key":                {[]string{"Bearer " + long}, false, fresh, "a", ""},
		"over the longest key":       {[]string{"Bearer " + long + "k"}, false, fresh, "", request.Unauthenticated},
		"unknown":                    {[]string{"Bearer key-c"}, false, fresh, "", request.Unauthenticated},
		"missing":                    {nil, false, fresh, "", request.Unauthenticated},
		"empty":                      {[]string{"Bearer "}, false, fresh, "", request.Unauthenticated},
		"no scheme":                  {[]string{"key-a"}, false, fresh, "", request.Unauthenticated},
		"other scheme":               {[]string{"Basic key-a"}, false, fresh, "", request.Unauthenticated},
		"repeated":                   {[]string{"Bearer key-a", "Bearer key-a"}, false, fresh, "", request.Unauthenticated},
		"known, old":                 {[]string{"Bearer key-a"}, false, old, "a", ""},
		"unknown, old":               {[]string{"Bearer key-c"}, false, old, "", request.ConfigurationStale},
		"missing, old":               {nil, false, old, "", request.ConfigurationStale},
		"known, proof run out":       {[]string{"Bearer key-a"}, false, stale, "", request.ConfigurationStale},
		"anonymous":                  {nil, true, fresh, "", ""},
		"anonymous, known":           {[]string{"Bearer key-a"}, true, fresh, "a", ""},
		"anonymous, unknown":         {[]string{"Bearer key-c"}, true, fresh, "", ""},
		"anonymous, proof run out":   {nil, true, time.Hour, "", ""},
		"anonymous, known, run out":  {[]string{"Bearer key-a"}, true, stale, "", ""},
		"anonymous, unknown, stale":  {[]string{"Bearer key-c"}, true, stale, "", ""},
		"anonymous, repeated, fresh": {[]string{"Bearer key-a", "Bearer key-b"}, true, fresh, "", ""},
	} {
		d := table.Decide(Request{Authorization: c.authorization, Anonymous: c.anonymous}, Proof{Age: c.age, Revocation: 5 * time.Second})
		got := ""
		if d.Tenant != nil {
			got = d.Tenant.Name
		}
		if got != c.tenant || d.Refusal != c.refusal {
			t.Errorf("%s: tenant %q, refusal %q, want %q and %q", name, got, d.Refusal, c.tenant, c.refusal)
		}
	}
	if d := table.Decide(Request{Authorization: []string{"Bearer key-a"}}, Proof{Age: time.Hour}); d.Tenant == nil {
		t.Error("a known key is refused although no time of revocation is guaranteed")
	}
	if d := table.Decide(Request{Authorization: []string{"Bearer key-a"}}, Proof{Revocation: revocationMargin / 2}); d.Refusal != request.ConfigurationStale {
		t.Errorf("a revocation time within the margin admits a request: %+v", d)
	}
}

// Guards against a request that runs outside of the regions of its tenant or its route, also while the proof is too old to
// name the tenant.
func TestRegionsOfTenantAndRouteBothApply(t *testing.T) {
	confined := entry("a", "key-a")
	confined.Regions = []string{"r1", "r2"}
	table := build(t, confined, entry("b", "key-b"))
	for _, c := range []struct {
		key         string
		route, want []string
		refusal     request.Reason
	}{
		{"key-a", nil, []string{"r1", "r2"}, ""},
		{"key-a", []string{"r2", "r3"}, []string{"r2"}, ""},
		{"key-a", []string{"r3"}, nil, request.NoCommonRegion},
		{"key-b", []string{"r3"}, []string{"r3"}, ""},
		{"key-b", nil, nil, ""},
	} {
		for _, age := range []time.Duration{0, time.Minute} {
			d := table.Decide(Request{Authorization: []string{"Bearer " + c.key}, Anonymous: true, Regions: c.route}, Proof{Age: age, Revocation: 5 * time.Second})
			if !slices.Equal(d.Regions, c.want) || d.Refusal != c.refusal {
				t.Errorf("%s on a route in %v, proof %v old: %v %q, want %v %q", c.key, c.route, age, d.Regions, d.Refusal, c.want, c.refusal)
			}
		}
	}
}

// Guards against an invalid configuration that is accepted, and against an error that shows a key or does not name the entry.
func TestInvalidTenantsAreRefused(t *testing.T) {
	limited := func(rate, burst float64) Entry {
		e := entry("a", "secret-1")
		e.Rate, e.Burst = rate, burst
		return e
	}
	for name, entries := range map[string][]Entry{
		"empty key":       {entry("a", "secret-1", "")},
		"shared key":      {entry("a", "secret-1", "secret-2"), entry("b", "secret-2")},
		"negative rate":   {limited(-1, 0)},
		"absurd rate":     {limited(1e300, 0)},
		"rate no number":  {limited(math.NaN(), 0)},
		"negative burst":  {limited(1, -0.5)},
		"absurd burst":    {limited(1, math.Inf(1))},
		"line in a name":  {entry("a\r\nX-Other: 1", "secret-1")},
		"space in a name": {entry("a ", "secret-1")},
		"no name":         {entry("", "secret-1")},
	} {
		table, err := Build(Secret{1}, entries)
		if table != nil || !errors.Is(err, problem.Invalid) {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if strings.Contains(err.Error(), "secret") || name != "no name" && !strings.Contains(err.Error(), `"a`) {
			t.Errorf("%s: error %q", name, err)
		}
	}
	table := build(t, entry("a", "secret-1", "secret-1"))
	if text := fmt.Sprintf("%+v %#v", table, table); strings.Contains(text, "secret-1") {
		t.Error("the table keeps a key")
	}
}

// Guards against a configuration that is refused because it revokes all keys of a tenant: the keys would stay valid.
func TestAllKeysOfATenantCanBeRevoked(t *testing.T) {
	table, err := Build(Secret{1}, []Entry{entry("a"), entry("b", "secret-2")})
	if err != nil {
		t.Fatal(err)
	}
	decide := func(key string) Decision {
		return table.Decide(Request{Authorization: []string{"Bearer " + key}}, Proof{Revocation: 5 * time.Second})
	}
	if d := decide("secret-1"); d.Refusal != request.Unauthenticated {
		t.Errorf("a revoked key: %+v", d)
	}
	if d := decide("secret-2"); d.Refusal != "" || d.Tenant.Name != "b" {
		t.Errorf("the key of another tenant: %+v", d)
	}
}
