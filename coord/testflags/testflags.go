// Package testflags sets defaults of test flags, so that stateful tests use
// fixed seeds in CI and a longer run stays possible from the command line.
package testflags

import "flag"

// SetDefaults parses the command line and sets the flags that it does not give.
// Flags that do not exist are ignored. It is called from TestMain.
func SetDefaults(defaults map[string]string) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range defaults {
		if !given[name] && flag.Lookup(name) != nil {
			_ = flag.Set(name, value)
		}
	}
}
