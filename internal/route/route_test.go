package route

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"heatherreel/internal/problem"
)

func buildTable(t *testing.T, routes ...Route) *Table {
	t.Helper()
	got, err := Build(3, routes, []Service{{Name: "a"}, {Name: "b"}}, Limits{})
	if err != nil {
		t.Fatal(err)
	}
	return got
}

func onlyService(service string) []WeightedService {
	return []WeightedService{{Service: service, Weight: 1}}
}

// Guards against a request that gets the wrong route because of a shorter prefix, another host or its query.
func TestMatchTakesLongestPrefix(t *testing.T) {
	routes := buildTable(t,
		Route{Name: "short", Host: "x.example", Prefix: "/a/", Services: onlyService("a")},
		Route{Name: "long", Host: "x.example", Prefix: "/a/b/", Services: onlyService("b")},
		Route{Name: "other", Host: "y.example", Prefix: "/", Services: onlyService("a")})
	for _, c := range []struct{ host, path, want string }{
		{"x.example", "/a/1", "short"},
		{"X.Example:80", "/a/b/1", "long"},
		{"x.example", "/a/c?to=/a/b/", "short"},
		{"x.example", "/b/", ""},
		{"y.example", "/b/", "other"},
		{"z.example", "/a/", ""},
	} {
		got := ""
		if r := routes.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// Guards against a configuration that is accepted although a route has no usable service.
func TestBuildRefusesRoutesWithoutService(t *testing.T) {
	for _, services := range [][]WeightedService{nil, {{Service: "a"}}, {{Service: "c", Weight: 1}}, {{Service: "a", Weight: -1}}} {
		_, err := Build(1, []Route{{Name: "r", Services: services}}, []Service{{Name: "a"}}, Limits{})
		if !errors.Is(err, problem.Invalid) && !errors.Is(err, problem.UnknownService) {
			t.Errorf("parts %v: error %v", services, err)
		}
	}
}

// Guards against shares of the requests that do not match the weights, after any number of requests.
func TestSplitterKeepsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &Route{Name: "r"}
		total := 0
		for i := range rapid.IntRange(2, 5).Draw(t, "parts") {
			w := rapid.IntRange(0, 100).Draw(t, "weight")
			r.Services = append(r.Services, WeightedService{Service: string(rune('a' + i)), Weight: w})
			total += w
		}
		if total == 0 {
			r.Services[0].Weight, total = 1, 1
		}
		s, got := NewSplitter(), map[string]int{}
		for n := 1; n <= 300; n++ {
			got[s.Pick(r)]++
			for _, weighted := range r.Services {
				want := float64(n*weighted.Weight) / float64(total)
				if d := float64(got[weighted.Service]) - want; d > float64(len(r.Services)) || d < -float64(len(r.Services)) {
					t.Fatalf("after %d requests %s had %d, want %.1f", n, weighted.Service, got[weighted.Service], want)
				}
			}
		}
	})
}
