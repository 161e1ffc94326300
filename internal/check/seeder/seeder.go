// Package seeder gives randomised tests a fixed seed and number of checks, unless the command line
// sets others.
package seeder

import "flag"

const fixedSeed = "1"

// SetDefaults sets the seed and the number of checks of package rapid where the command line does
// not. It has to be called from TestMain. With empty checks, the default of rapid stays.
func SetDefaults(checks string) {
	flag.Parse()
	setUnlessGiven("rapid.seed", fixedSeed)
	if checks != "" {
		setUnlessGiven("rapid.checks", checks)
	}
}

// setUnlessGiven sets a flag that still has its default value.
func setUnlessGiven(name, value string) {
	f := flag.Lookup(name)
	if f == nil || f.Value.String() != f.DefValue {
		return
	}
	if err := f.Value.Set(value); err != nil {
		panic(err)
	}
}
