// Package testflags sets defaults of test flags. Randomized tests thus run with
// fixed seeds in CI, and the command line can give other seeds and longer runs.
package testflags

import "flag"

// SetDefaults parses the command line and sets the flags that it does not give.
// TestMain calls it. It panics if a flag does not exist: that is a mistake in
// the test, which would otherwise run with a random seed.
func SetDefaults(defaults map[string]string) {
	flag.Parse()
	isGiven := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { isGiven[f.Name] = true })
	for name, value := range defaults {
		if isGiven[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
