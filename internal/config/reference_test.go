package config

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// referencePage is the page that describes the configuration.
const referencePage = "../../docs/configuration.md"

// Guards against a reference whose names, types, defaults or match fields differ from what the code accepts.
func TestReferenceMatchesCode(t *testing.T) {
	page, err := os.ReadFile(referencePage)
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(page), "\n## Settings\n")
	if !found {
		t.Fatal("the page has no section of settings")
	}
	section, _, _ = strings.Cut(section, "\n## ")
	got := regexp.MustCompile("(?m)^\\| `.*$").FindAllString(section, -1)
	var want []string
	for _, r := range Reference() {
		want = append(want, fmt.Sprintf("| `%s` | %s | %s | %s | %s |", r.Name, r.Type, r.Default, r.MatchedBy, r.Description))
	}
	if !slices.Equal(got, want) {
		t.Errorf("the page has\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// Guards against examples in the reference page that Decode rejects.
func TestReferenceExampleIsValid(t *testing.T) {
	page, err := os.ReadFile(referencePage)
	if err != nil {
		t.Fatal(err)
	}
	examples := regexp.MustCompile("(?s)```yaml\n(.*?)```").FindAllStringSubmatch(string(page), -1)
	if len(examples) == 0 {
		t.Fatal("the page has no example")
	}
	for _, e := range examples {
		mustDecode(t, e[1])
	}
}
