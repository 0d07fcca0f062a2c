package settings

import (
	"errors"
	"strings"

	"github.com/spf13/pflag"

	"heatherreel/internal/problem"
)

// EnvironmentPrefix is the prefix of the names of all environment variables.
const EnvironmentPrefix = "HEATHERREEL_"

// definition describes one setting.
type definition struct {
	flag string
	// typeName is the type that the help text shows.
	typeName string
	// defaultText is the default, or empty for a required setting.
	defaultText string
	// usage is the help text, which docs/settings.md repeats.
	usage string
	// remedy says how to correct an invalid value.
	remedy string
	// apply parses text and stores the value in s.
	apply func(s *Settings, text string) error
}

// environmentVariable returns the name of the setting's environment variable.
func (d definition) environmentVariable() string {
	return EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(d.flag, "-", "_"))
}

// fault returns the error for an invalid or missing value of the setting.
func (d definition) fault(cause error) error {
	return problem.New(problem.Invalid, d.remedy, "--%s (%s): %w", d.flag, d.environmentVariable(), cause)
}

// flagValue stores the text of a flag. Load parses it later, because pflag stops at the first invalid value.
type flagValue struct {
	text, typeName string
}

// String returns the text.
func (v *flagValue) String() string { return v.text }

// Set stores text without parsing it.
func (v *flagValue) Set(text string) error {
	v.text = text
	return nil
}

// Type returns the type that the help text shows.
func (v *flagValue) Type() string { return v.typeName }

// Register adds the flags of all settings to flags.
func Register(flags *pflag.FlagSet) {
	for _, d := range definitions {
		flags.Var(&flagValue{text: d.defaultText, typeName: d.typeName}, d.flag, d.usage+" ["+d.environmentVariable()+"]")
	}
}

// Load returns the settings from parsed flags and the environment. lookupEnv is os.LookupEnv except in tests. The error
// joins one error of kind problem.Invalid for each fault.
func Load(flags *pflag.FlagSet, lookupEnv func(string) (string, bool)) (Settings, error) {
	var s Settings
	var faults []error
	faulty := map[string]bool{}
	for _, d := range definitions {
		if err := loadSetting(d, &s, flags, lookupEnv); err != nil {
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

// errMissing is returned for a required setting without a value.
var errMissing = errors.New("is required and has no value")

// errUnregistered is returned for a flag set to which Register has not added the flags.
var errUnregistered = errors.New("is not registered with the flag set")

// loadSetting reads the value of one setting and stores it in s.
func loadSetting(d definition, s *Settings, flags *pflag.FlagSet, lookupEnv func(string) (string, bool)) error {
	flag := flags.Lookup(d.flag)
	if flag == nil {
		return errUnregistered
	}
	text := flag.Value.String()
	if env, ok := lookupEnv(d.environmentVariable()); ok && !flag.Changed {
		text = env
	}
	if text == "" {
		return errMissing
	}
	return d.apply(s, text)
}
