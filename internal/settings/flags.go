package settings

import (
	"errors"
	"strings"

	"github.com/spf13/pflag"

	"heatherreel/internal/problem"
)

// EnvironmentPrefix starts the name of each environment variable.
const EnvironmentPrefix = "HEATHERREEL_"

// definition describes one setting.
type definition struct {
	flag string
	// kind is the type that the help text shows.
	kind string
	// fallback is the default, or empty for a setting that must be given.
	fallback string
	// usage is the meaning, also stated in docs/settings.md.
	usage string
	// remedy says how to correct a faulty value.
	remedy string
	// apply parses text into the settings.
	apply func(s *Settings, text string) error
}

// environment returns the name of the setting's environment variable.
func (d definition) environment() string {
	return EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(d.flag, "-", "_"))
}

// fault returns the error for one fault of the setting.
func (d definition) fault(cause error) error {
	return problem.New(problem.Invalid, d.remedy, "--%s (%s): %w", d.flag, d.environment(), cause)
}

// value keeps the text of a flag. Parsing waits for Load, because pflag stops at the first faulty value.
type value struct {
	text, kind string
}

// String returns the text.
func (v *value) String() string { return v.text }

// Set keeps text.
func (v *value) Set(text string) error {
	v.text = text
	return nil
}

// Type returns the type that the help text shows.
func (v *value) Type() string { return v.kind }

// Register adds the flags of all settings to flags.
func Register(flags *pflag.FlagSet) {
	for _, d := range definitions {
		flags.Var(&value{text: d.fallback, kind: d.kind}, d.flag, d.usage+" ["+d.environment()+"]")
	}
}

// Load returns the settings from parsed flags and the environment. lookupEnv is os.LookupEnv outside of tests.
// The error joins one error of kind problem.Invalid for each fault.
func Load(flags *pflag.FlagSet, lookupEnv func(string) (string, bool)) (Settings, error) {
	var s Settings
	var faults []error
	faulty := map[string]bool{}
	for _, d := range definitions {
		if err := load(d, &s, flags, lookupEnv); err != nil {
			faults = append(faults, d.fault(err))
			faulty[d.flag] = true
		}
	}
	faults = append(faults, contradictions(s, faulty)...)
	if len(faults) > 0 {
		return Settings{}, errors.Join(faults...)
	}
	return s, nil
}

// errMissing is the fault of a setting without a value.
var errMissing = errors.New("is required and has no value")

// errUnregistered is the fault of a flag set that Register was not called with.
var errUnregistered = errors.New("is not registered with the flag set")

// load applies the value of one setting to s.
func load(d definition, s *Settings, flags *pflag.FlagSet, lookupEnv func(string) (string, bool)) error {
	flag := flags.Lookup(d.flag)
	if flag == nil {
		return errUnregistered
	}
	text := flag.Value.String()
	if env, ok := lookupEnv(d.environment()); ok && !flag.Changed {
		text = env
	}
	if text == "" {
		return errMissing
	}
	return d.apply(s, text)
}
