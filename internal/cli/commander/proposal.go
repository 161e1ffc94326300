package commander

import (
	"flag"

	"clementinerock/internal/config/approver"
)

var planCommand = command{
	name:     "plan",
	synopsis: "say what approving a proposal would change",
	usage: `plan [-store ADDRESS] [-json] PROPOSAL
Prints the change in plain words.`,
	flags: func(set *flag.FlagSet, o *options) {
		storeFlag(set, o)
		jsonFlag(set, o)
	},
	action: runPlan,
}

func runPlan(e *env, args []string) int {
	if len(args) != 1 {
		return e.failUsage("plan takes the id of a proposal")
	}
	a := approver.Approver{Store: e.storeClient()}
	lines, err := a.Plan(e.ctx, args[0])
	if err != nil {
		return e.fail(exitFailure, err)
	}
	if e.json {
		return e.printJSON(lines)
	}
	if len(lines) == 0 {
		e.printf("nothing would change")
	}
	for _, line := range lines {
		e.printf("%s", line)
	}
	return exitOK
}

var rejectCommand = command{
	name:     "reject",
	synopsis: "close a proposal without approving it",
	usage:    `reject [-store ADDRESS] PROPOSAL`,
	flags:    storeFlag,
	action:   runReject,
}

func runReject(e *env, args []string) int {
	if len(args) != 1 {
		return e.failUsage("reject takes the id of a proposal")
	}
	a := approver.Approver{Store: e.storeClient()}
	if err := a.Reject(e.ctx, args[0]); err != nil {
		return e.fail(exitFailure, err)
	}
	e.printf("proposal %s is rejected", args[0])
	return exitOK
}

var undoCommand = command{
	name:     "undo",
	synopsis: "propose the answers of an earlier version",
	usage: `undo [-store ADDRESS] -author NAME -to VERSION
Stores a proposal that brings back the answers of VERSION. Approving it makes a
new version; versions only rise.`,
	flags: func(set *flag.FlagSet, o *options) {
		storeFlag(set, o)
		authorFlag(set, o)
		set.Uint64Var(&o.version, "to", 0, "version whose answers come back")
	},
	action: runUndo,
}

func runUndo(e *env, args []string) int {
	if len(args) > 0 || e.author == "" || e.version == 0 {
		return e.failUsage("undo needs -author NAME and -to VERSION")
	}
	a := approver.Approver{Store: e.storeClient()}
	proposal, err := a.Undo(e.ctx, e.version, e.author)
	if err != nil {
		return e.fail(exitFailure, err)
	}
	e.printf("proposal %s, based on version %d", proposal.ID, proposal.Base)
	return exitOK
}
