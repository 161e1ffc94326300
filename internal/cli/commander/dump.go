package commander

import (
	"flag"

	"clementinerock/internal/node/announcer"
	"clementinerock/internal/node/runner"
)

var dumpCommand = command{
	name:     "dump",
	synopsis: "print the whole state of a node's process",
	usage:    `dump [-admin ADDRESS]`,
	flags: func(set *flag.FlagSet, o *options) {
		adminFlag(set, o)
	},
	action: runDump,
}

func runDump(e *env, args []string) int {
	if len(args) > 0 {
		return e.failUsage("dump takes no arguments")
	}
	var state runner.State
	if err := e.adminGet(announcer.PathDump, &state); err != nil {
		return e.fail(exitFailure, err)
	}
	return e.printJSON(state)
}
