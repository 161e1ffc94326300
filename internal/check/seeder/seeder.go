// Package seeder gives randomised tests a fixed seed and length, unless the command
// line names others.
package seeder

import "flag"

const fixedSeed = "1"

// SetDefaults sets the seed and the number of checks of rapid. Call it from TestMain. An empty
// number keeps rapid's own.
func SetDefaults(checks string) {
	flag.Parse()
	setUnlessGiven("rapid.seed", fixedSeed)
	if checks != "" {
		setUnlessGiven("rapid.checks", checks)
	}
}

func setUnlessGiven(name, value string) {
	f := flag.Lookup(name)
	if f == nil || f.Value.String() != f.DefValue {
		return
	}
	if err := f.Value.Set(value); err != nil {
		panic(err)
	}
}
