package commander

import "runtime"

// release is the version of the program, as opposed to that of a configuration.
const release = "0.1.0"

var versionCommand = command{
	name:     "version",
	synopsis: "print the version of the program",
	usage:    `version`,
	action: func(e *env, _ []string) int {
		e.printf("clementinerock %s %s", release, runtime.Version())
		return exitOK
	},
}
