package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherreel/internal/keyspace"
	"heatherreel/internal/problem"
	"heatherreel/internal/request"
)

// mustDecode decodes a valid document.
func mustDecode(t testing.TB, document string) *Configuration {
	t.Helper()
	c, err := Decode([]byte(document))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Values from which random documents and subjects are drawn. The empty string leaves a field out.
var (
	drawnServices    = []string{"", "orders", "history"}
	drawnTenants     = []string{"", "alpha", "beta"}
	drawnDataCentres = []string{"", "west-a", "west-b", "central-a"}
	drawnRegions     = []string{"", "emea-west", "emea-central"}
	drawnPrefixes    = []string{"", "a", "ab", "abc", "b"}
)

// drawMatch returns a random match in document syntax.
func drawMatch(t *rapid.T) string {
	var parts []string
	add := func(name string, values []string) {
		// Each field is named with a probability of one third, so that many exceptions overlap and some are more
		// specific than others.
		if rapid.IntRange(0, 2).Draw(t, name+" named") == 0 {
			parts = append(parts, name+": "+rapid.SampledFrom(values[1:]).Draw(t, name))
		}
	}
	add("service", drawnServices)
	add("tenant", drawnTenants)
	add("data_centre", drawnDataCentres)
	add("region", drawnRegions)
	add("key_prefix", drawnPrefixes)
	if len(parts) == 0 {
		return "key_prefix: " + rapid.SampledFrom(drawnPrefixes[1:4]).Draw(t, "only prefix")
	}
	return strings.Join(parts, ", ")
}

// drawSubject returns a random subject with a data centre in its region.
func drawSubject(t *rapid.T) Subject {
	s := Subject{
		Service:    rapid.SampledFrom(drawnServices).Draw(t, "subject service"),
		Tenant:     rapid.SampledFrom(drawnTenants).Draw(t, "subject tenant"),
		Key:        rapid.SampledFrom([]string{"", "a", "ab", "abcd", "bc", "z"}).Draw(t, "subject key"),
		DataCentre: rapid.SampledFrom(drawnDataCentres[1:]).Draw(t, "subject data centre"),
	}
	s.Region = map[string]string{"west-a": "emea-west", "west-b": "emea-west", "central-a": "emea-central"}[s.DataCentre]
	return s
}

// referenceValue resolves one setting by the rule of the design page: the value of a matching exception such that no
// other matching exception is more specific. If there are several, it fails unless they have the same value.
func referenceValue(t *rapid.T, c *Configuration, s Subject, id settingID) string {
	var matching []*Exception
	for _, e := range c.exceptions {
		if e.overrides.has(id) && e.Match.matches(&s) {
			matching = append(matching, e)
		}
	}
	value := settings[id].format(&c.defaults)
	decided := false
	for _, e := range matching {
		overridden := slices.ContainsFunc(matching, func(o *Exception) bool { return o.Match.moreSpecificThan(&e.Match) })
		if overridden {
			continue
		}
		candidate := settings[id].format(&e.values)
		if decided && candidate != value {
			t.Fatalf("accepted exceptions disagree on %s for %+v", settings[id].name, s)
		}
		value, decided = candidate, true
	}
	return value
}

// compareWithReference requires that Resolve and Explain agree with referenceValue on every setting.
func compareWithReference(t *rapid.T, c *Configuration, s Subject) {
	got := c.Resolve(s)
	for id, e := range c.Explain(s) {
		want := referenceValue(t, c, s, settingID(id))
		if formatted := settings[id].format(&got); formatted != want || e.Value != want {
			t.Fatalf("%s of %+v: resolved %s, explained %s, want %s", e.Setting, s, formatted, e.Value, want)
		}
	}
}

// Guards against a lookup table that gives precedence to the wrong exception, and against accepted contradictions.
func TestResolveMatchesReference(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		var text strings.Builder
		text.WriteString(validYAML)
		for i := range rapid.IntRange(0, 4).Draw(t, "exceptions") {
			set := fmt.Sprintf("deadline: %ds", rapid.IntRange(1, 2).Draw(t, "value"))
			if rapid.Bool().Draw(t, "second setting") {
				set += ", class: background"
			}
			text.WriteString(exceptionYAML(fmt.Sprint("e", i), drawMatch(t), set))
		}
		c, err := Decode([]byte(text.String()))
		if err != nil {
			return
		}
		accepted++
		for range 20 {
			compareWithReference(t, c, drawSubject(t))
		}
	})
	if accepted < 20 {
		t.Fatalf("only %d random documents were accepted, too few to compare", accepted)
	}
}

// Guards against precedence by document order instead of by the longest key prefix.
func TestLongerPrefixDecides(t *testing.T) {
	c := mustDecode(t, validYAML+
		exceptionYAML("long", "key_prefix: abc", "deadline: 3s, home_regions: [emea-west]")+
		exceptionYAML("short", "key_prefix: a", "deadline: 1s, home_regions: [emea-west, emea-central]")+
		exceptionYAML("middle", "key_prefix: ab", "deadline: 2s")+
		exceptionYAML("both", "key_prefix: a, tenant: alpha", "home_regions: [emea-west]"))
	for key, want := range map[string]time.Duration{"abcd": 3 * time.Second, "abx": 2 * time.Second,
		"a": time.Second, "b": 250 * time.Millisecond} {
		if got := c.Resolve(Subject{Service: "orders", Key: key}).Deadline; got != want {
			t.Errorf("key %s: deadline %s, want %s", key, got, want)
		}
	}
	if got := c.Homes("orders"); !slices.Equal(got, []keyspace.Home{"", "emea-central+emea-west", "emea-west"}) {
		t.Errorf("homes %q lack one of a key prefix", got)
	}
}

// Guards against accepting a document in which the deadline of some subject exceeds its max_deadline.
func TestAcceptedDeadlinesWithinMaximum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := validYAML
		for i := range rapid.IntRange(1, 5).Draw(t, "exceptions") {
			name := rapid.SampledFrom([]string{"deadline", "max_deadline"}).Draw(t, "setting")
			set := fmt.Sprintf("%s: %ds", name, rapid.IntRange(1, 12).Draw(t, "value"))
			text += exceptionYAML(fmt.Sprint("e", i), drawMatch(t), set)
		}
		c, err := Decode([]byte(text))
		if err != nil {
			return
		}
		if s := c.Resolve(drawSubject(t)); s.Deadline > s.MaxDeadline {
			t.Fatalf("accepted: deadline %s above %s in\n%s", s.Deadline, s.MaxDeadline, text)
		}
	})
}

// Guards against a set of home regions that Homes leaves out: no node would plan its group, and its keys would never
// get an owner.
func TestHomesIncludeEveryResolvedHome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := validYAML
		for i := range rapid.IntRange(0, 4).Draw(t, "exceptions") {
			match := "tenant: " + rapid.SampledFrom(drawnTenants[1:]).Draw(t, "exception tenant")
			if p := rapid.SampledFrom(drawnPrefixes).Draw(t, "prefix"); p != "" {
				match += ", key_prefix: " + p
			}
			if rapid.Bool().Draw(t, "by service") {
				match += ", service: orders"
			}
			home := rapid.SampledFrom([]string{"any", "[emea-west]", "[emea-central]"}).Draw(t, "home")
			text += exceptionYAML(fmt.Sprint("e", i), match, "home_regions: "+home)
		}
		c, err := Decode([]byte(text))
		if err != nil {
			return
		}
		homes := c.Homes("orders")
		for range 20 {
			s := drawSubject(t)
			s.Service, s.Tenant = "orders", rapid.SampledFrom(drawnTenants[1:]).Draw(t, "tenant")
			if home := c.Resolve(s).HomeRegions; !slices.Contains(homes, home) {
				t.Fatalf("home %q of %+v is not among %q", home, s, homes)
			}
		}
	})
}

// Guards against an explanation that does not tell an operator which default or exception set a value, and why.
func TestExplainNamesOrigin(t *testing.T) {
	c := mustDecode(t, validYAML)
	got := c.Explain(Subject{Service: "orders", Tenant: "alpha"})
	home := got[homeRegions]
	if home.Origin != FromException || home.Exception != "alpha-at-home" || home.Line != 11 ||
		!strings.Contains(home.Reason, "contract 12") || home.Match != "tenant=alpha" {
		t.Errorf("home_regions: %+v", home)
	}
	if got[deadline].Origin != FromDefaults || got[queueLimit].Origin != FromBuiltIn {
		t.Errorf("origins: %+v %+v", got[deadline], got[queueLimit])
	}
}

// Guards against backend settings that ignore an exception for the region when the subject names only the data centre.
func TestResolveBackend(t *testing.T) {
	c := mustDecode(t, validYAML+
		exceptionYAML("out", "region: emea-west", "taken_out: true")+
		exceptionYAML("grants", "service: orders, data_centre: central-a", "checks_grants: true, in_flight_bound: 0s"))
	if !c.TakenOut("west-b") || c.TakenOut("central-a") {
		t.Error("taken_out of the region does not hold for its data centres only")
	}
	got := c.ResolveBackend("orders", "central-a")
	want := BackendSettings{ChecksGrants: true, ConcurrencyLimit: 4, QueueLimit: 32, Slices: 256}
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Guards against publishing without a warning when a set of home regions has no data centre in service.
func TestWarnsWhenHomeIsTakenOut(t *testing.T) {
	if w := mustDecode(t, validYAML+exceptionYAML("one", "data_centre: west-a", "taken_out: true")).Warnings(); len(w) != 0 {
		t.Errorf("warned while west-b remains: %v", w)
	}
	w := mustDecode(t, validYAML+exceptionYAML("out", "region: emea-west", "taken_out: true")).Warnings()
	if len(w) != 2 || w[0].Line != 15 || !strings.Contains(w[0].Detail, "[emea-west]") {
		t.Errorf("want one warning for each service, got %v", w)
	}
}

// Guards against a changed number of slices, which would map keys to other slices than those in the assignments.
func TestCompatibleWith(t *testing.T) {
	before := mustDecode(t, validYAML)
	after := mustDecode(t, validYAML+exceptionYAML("b", "service: orders", "slices: 512"))
	assignedOnly := func(name string) func(string) bool { return func(s string) bool { return s == name } }
	if err := after.CompatibleWith(before, assignedOnly("orders")); !errors.Is(err, problem.Invalid) || !strings.Contains(err.Error(), "line 15") {
		t.Errorf("changed slices of an assigned service: %v", err)
	}
	if err := after.CompatibleWith(before, assignedOnly("history")); err != nil {
		t.Errorf("a service without assignments: %v", err)
	}
	if err := after.CompatibleWith(nil, assignedOnly("orders")); err != nil {
		t.Errorf("the first configuration: %v", err)
	}
}

// Guards against changes that are missing in the preview that operators see before publishing.
func TestDiff(t *testing.T) {
	a := mustDecode(t, validYAML)
	b := mustDecode(t, strings.Replace(validYAML, "250ms", "500ms", 1)+exceptionYAML("b", "service: orders", "class: lookup"))
	var got []string
	for _, c := range Diff(a, b) {
		got = append(got, fmt.Sprintf("%s %s>%s", c.Path, c.Before, c.After))
	}
	want := []string{"defaults.deadline 250ms>500ms", "exceptions.b.match >service=orders", "exceptions.b.reason >a test",
		"exceptions.b.set.class >lookup"}
	if !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// Guards against accepting tenants that the document does not name, which could not have home regions of their own.
func TestHasServiceAndAllowsTenant(t *testing.T) {
	c := mustDecode(t, validYAML)
	if c.AllowsTenant("") || c.AllowsTenant("gamma") || !c.AllowsTenant("alpha") || c.HasService("x") || !c.HasService("orders") {
		t.Error("names do not match the document")
	}
	if !mustDecode(t, "regions: {r: {data_centres: [d]}}\nservices: [s]\ndefaults: {home_regions: any}\n").AllowsTenant("") {
		t.Error("a document without tenants refuses requests without a tenant")
	}
	if region, ok := c.RegionOf("central-b"); !ok || region != "emea-central" {
		t.Errorf("region of central-b: %q", region)
	}
	if got := c.Homes("orders"); !slices.Equal(got, []keyspace.Home{"", "emea-west"}) {
		t.Errorf("homes: %q", got)
	}
}

// Guards against formatted durations that are not valid in a document.
func TestFormatDuration(t *testing.T) {
	for d, want := range map[time.Duration]string{time.Hour: "1h", time.Minute: "1m", 90 * time.Second: "1m30s",
		250 * time.Millisecond: "250ms", 10 * time.Second: "10s", 0: "0s"} {
		if got := formatDuration(d); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}

// manyExceptions returns a document with count exceptions. A quarter of them match keys of the service orders that
// consist of many k.
func manyExceptions(count int) string {
	text := validYAML
	for i := range count {
		match := fmt.Sprintf("service: %s, key_prefix: p%d", drawnServices[1+i%2], i)
		if i%4 == 0 {
			match = "service: orders, key_prefix: " + strings.Repeat("k", i+1)
		}
		text += exceptionYAML(fmt.Sprint("e", i), match, fmt.Sprintf("deadline: %dms, retry_ratio: 0.2", i+1))
	}
	return text
}

// Guards against a setting that exceptions can set but copySetting does not copy.
func TestEverySettingIsCopied(t *testing.T) {
	from := Settings{HomeRegions: "r", Deadline: 1, MaxDeadline: 1, MaxBody: 1, IdempotentMethods: 1,
		Class: request.Lookup, ConcurrencyLimit: 1, QueueLimit: 1, RetryRatio: 1, Slices: 1, ChecksGrants: true,
		InFlightBound: 1, OutcomeRetention: 1, TakenOut: true, LostBefore: 1}
	var to Settings
	for id := range settingCount {
		before := settings[id].format(&to)
		copySetting(id, &to, &from)
		if settings[id].format(&to) == before {
			t.Errorf("%s is not copied", settings[id].name)
		}
	}
	if to != from {
		t.Errorf("got %+v, want %+v", to, from)
	}
}

// Guards against allocations on the request path.
func TestResolveDoesNotAllocate(t *testing.T) {
	c := mustDecode(t, manyExceptions(48))
	s := Subject{Service: "orders", Tenant: "beta", Key: strings.Repeat("k", 64), DataCentre: "west-a"}
	if n := testing.AllocsPerRun(100, func() { c.Resolve(s) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkResolve(b *testing.B) {
	for _, count := range []int{0, 24, 48, 96} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			c := mustDecode(b, manyExceptions(count))
			s := Subject{Service: "orders", Tenant: "beta", Key: strings.Repeat("k", 100), DataCentre: "west-a", Region: "emea-west"}
			b.ReportAllocs()
			for b.Loop() {
				c.Resolve(s)
			}
		})
	}
}
