package configcheck

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"heatherreel/internal/route"
	"heatherreel/internal/tenantauth"
)

// Guards against a field of a route, a service or the limits that is added and whose changes are not reported: each field of
// the compared types is changed in turn.
func TestEachFieldIsCompared(t *testing.T) {
	build := func(r route.Route, s route.Service, l route.Limits) *route.Table {
		t.Helper()
		r.Name, s.Name = "r", "s"
		if len(r.Services) == 0 {
			r.Services = []route.WeightedService{{Service: "s", Weight: 1}}
		}
		table, err := route.Build(2, []route.Route{r}, []route.Service{s}, l)
		if err != nil {
			t.Fatal(err)
		}
		return table
	}
	before := build(route.Route{}, route.Service{}, route.Limits{})
	before.Revision = 1
	baseline := len(Compare(build(route.Route{}, route.Service{}, route.Limits{}), before))
	for _, kind := range []reflect.Type{reflect.TypeFor[route.Route](), reflect.TypeFor[route.Service](), reflect.TypeFor[route.Limits]()} {
		for i := range kind.NumField() {
			if kind.Field(i).Name == "Name" {
				continue
			}
			var r route.Route
			var s route.Service
			var l route.Limits
			for _, target := range []reflect.Value{reflect.ValueOf(&r).Elem(), reflect.ValueOf(&s).Elem(), reflect.ValueOf(&l).Elem()} {
				if target.Type() == kind {
					change(target.Field(i))
				}
			}
			if got := len(Compare(build(r, s, l), before)); got != baseline+1 {
				t.Errorf("a change of %s.%s is reported by %d differences, want 1", kind.Name(), kind.Field(i).Name, got-baseline)
			}
		}
	}
}

// change sets a field to another value than its zero value.
func change(v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		v.SetString("x")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(7)
	case reflect.Float64:
		v.SetFloat(7)
	case reflect.Slice:
		element := reflect.New(v.Type().Elem()).Elem()
		if element.Kind() == reflect.Struct {
			element.Set(reflect.ValueOf(route.WeightedService{Service: "s", Weight: 7}))
		} else {
			change(element)
		}
		v.Set(reflect.Append(v, element))
	default:
		panic("a field of a kind that the test does not know")
	}
}

// Guards against a change of tenants that is not reported, and against a key in the report.
func TestTenantsAreCompared(t *testing.T) {
	table := func(revision uint64, entries ...tenantauth.Entry) *route.Table {
		built, err := route.Build(revision, nil, nil, route.Limits{})
		if err != nil {
			t.Fatal(err)
		}
		if built.Tenants, err = tenantauth.Build(tenantauth.Secret{1}, entries); err != nil {
			t.Fatal(err)
		}
		return built
	}
	entry := func(name string, rate float64, keys ...string) tenantauth.Entry {
		return tenantauth.Entry{Tenant: tenantauth.Tenant{Name: name, Rate: rate}, Keys: keys}
	}
	before := table(1, entry("acme", 10, "secret-1", "secret-2"), entry("gone", 1, "secret-3"))
	findings := fmt.Sprint(Compare(table(2, entry("acme", 5, "secret-2", "secret-4"), entry("new", 1)), before))
	for _, want := range []string{"rate: 5, before 10", "keys: 1 added, 1 removed", "gone", "new", "added", "removed"} {
		if !strings.Contains(findings, want) {
			t.Errorf("%q is missing in %s", want, findings)
		}
	}
	if strings.Contains(findings, "secret") {
		t.Errorf("a key is reported: %s", findings)
	}
}
