package commander

import (
	"flag"
	"time"

	"clementinerock/internal/config/approver"
)

var historyCommand = command{
	name:     "history",
	synopsis: "list the approved versions",
	usage:    `history [-store ADDRESS] [-json]`,
	flags: func(set *flag.FlagSet, o *options) {
		storeFlag(set, o)
		jsonFlag(set, o)
	},
	action: runHistory,
}

func runHistory(e *env, args []string) int {
	if len(args) > 0 {
		return e.failUsage("history takes no arguments")
	}
	a := approver.Approver{Store: e.storeClient()}
	heads, err := a.History(e.ctx)
	if err != nil {
		return e.fail(exitFailure, err)
	}
	if e.json {
		return e.printJSON(heads)
	}
	for _, head := range heads {
		approved := time.UnixMilli(head.ApprovedUnixMs).UTC().Format(time.RFC3339)
		e.printf("version %d  %s  by %s  proposal %s  root %s",
			head.Version, approved, head.Author, head.Operation, head.Root.Short())
	}
	return exitOK
}
