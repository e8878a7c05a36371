package settings

import (
	"errors"
	"io"
	"slices"
	"strings"

	"github.com/spf13/pflag"
)

// clientVariables are the suffixes of variables that the command-line client
// reads. Parse ignores these variables.
var clientVariables = []string{"SERVER", "TOKEN", "AUTHOR"}

// Parse reads the settings from the arguments after the program name and from
// an environment in the form of os.Environ. It returns *Error for a refused
// setting, *HelpRequested for --help and *VersionRequested for --version.
func Parse(args, env []string) (*Settings, error) {
	if slices.Contains(args, "--version") {
		return nil, &VersionRequested{}
	}
	opts := options()
	flags, values := flagSet(opts)
	if err := parseFlags(flags, args); err != nil {
		return nil, err
	}
	variables, err := readEnv(opts, env)
	if err != nil {
		return nil, err
	}
	s := &Settings{}
	for i := range opts {
		if err := assign(s, &opts[i], flags, values[opts[i].flag], variables); err != nil {
			return nil, err
		}
	}
	if err := check(s); err != nil {
		return nil, err
	}
	return s, nil
}

// Usage returns the description of all settings.
func Usage() string {
	flags, _ := flagSet(options())
	return "cranberrydrumd runs one host of a deployment.\n\n" +
		"Each flag can also be given as an environment variable, for example\n" +
		"--host-id as " + EnvName(flagHostID) + ". The key shared by all hosts is read\n" +
		"only from " + EnvName(flagPeerKey) + ".\n--version prints the version.\n\nFlags:\n" + flags.FlagUsages()
}

func flagSet(opts []option) (*pflag.FlagSet, map[string]*[]string) {
	flags := pflag.NewFlagSet("cranberrydrumd", pflag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.Usage = func() {}
	flags.SortFlags = false
	values := map[string]*[]string{}
	for _, o := range opts {
		if o.envOnly {
			continue
		}
		v := &listValue{defaultValue: o.defaultValue}
		values[o.flag] = &v.values
		f := flags.VarPF(v, o.flag, "", o.usage+" ("+o.allowed+")")
		if o.boolean {
			f.NoOptDefVal = "true"
		}
	}
	return flags, values
}

// listValue collects the values given for a flag without validation. Parse
// validates flags and variables in the same way, so that they give the same
// errors.
type listValue struct {
	defaultValue string
	values       []string
}

func (v *listValue) String() string     { return v.defaultValue }
func (v *listValue) Type() string       { return "value" }
func (v *listValue) Set(s string) error { v.values = append(v.values, s); return nil }

func parseFlags(flags *pflag.FlagSet, args []string) error {
	err := flags.Parse(args)
	if errors.Is(err, pflag.ErrHelp) {
		return &HelpRequested{Usage: Usage()}
	}
	if err != nil {
		return flagError(err)
	}
	if flags.NArg() > 0 {
		return &Error{Value: flags.Arg(0), Reason: "is not a flag", Allowed: "flags only; see --help"}
	}
	return nil
}

// flagError converts an error of the flag library. Its message names the flag.
func flagError(err error) error {
	reason, _, _ := strings.Cut(err.Error(), "\n")
	return &Error{Reason: reason, Allowed: "the flags listed by --help"}
}

// readEnv returns the values of the environment variables by flag. An unknown
// variable with the prefix is refused, because it is most likely a misspelled
// setting.
func readEnv(opts []option, env []string) (map[string]string, error) {
	values := map[string]string{}
	for _, pair := range env {
		variable, value, _ := strings.Cut(pair, "=")
		suffix, hasPrefix := strings.CutPrefix(variable, EnvPrefix)
		if !hasPrefix || slices.Contains(clientVariables, suffix) {
			continue
		}
		i := slices.IndexFunc(opts, func(o option) bool { return EnvName(o.flag) == variable })
		if i < 0 {
			flag := strings.ToLower(strings.ReplaceAll(suffix, "_", "-"))
			return nil, &Error{Flag: flag, FromEnv: true, Reason: "is not a setting", Allowed: "the variables of the flags listed by --help"}
		}
		if value != "" {
			values[opts[i].flag] = value
		}
	}
	return values, nil
}

// assign sets an option from its flag, its variable or its default value, in
// this order of precedence.
func assign(s *Settings, o *option, flags *pflag.FlagSet, given *[]string, variables map[string]string) error {
	values, fromEnv := []string{o.defaultValue}, false
	if v, ok := variables[o.flag]; ok {
		values, fromEnv = []string{v}, true
	}
	if !o.envOnly && flags.Changed(o.flag) {
		values, fromEnv = *given, false
	}
	if len(values) > 1 && !o.repeated {
		return &Error{Flag: o.flag, Value: values[1], Reason: "is given twice", Allowed: "one value"}
	}
	for _, v := range values {
		if v == "" && !flags.Changed(o.flag) {
			continue
		}
		if reason := o.set(s, v); reason != "" {
			return o.newError(v, reason, fromEnv)
		}
	}
	return nil
}

func (o *option) newError(value, reason string, fromEnv bool) error {
	if o.envOnly {
		value = ""
	}
	return &Error{Flag: o.flag, FromEnv: fromEnv, Value: value, Reason: reason, Allowed: o.allowed}
}
