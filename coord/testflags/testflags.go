// Package testflags sets defaults of test flags, so that stateful tests use
// fixed seeds in CI and a longer run stays possible from the command line.
package testflags

import "flag"

// SetDefaults parses the command line and sets the flags that it does not give.
// It is called from TestMain. A flag that does not exist is a mistake in the
// test, which would then run with a random seed, so it panics.
func SetDefaults(defaults map[string]string) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range defaults {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
