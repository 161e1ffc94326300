package commander

import (
	"flag"
	"time"

	"clementinerock/internal/config/approver"
)

const defaultWait = 14 * time.Second

var approveCommand = command{
	name:     "approve",
	synopsis: "make a proposal the next version",
	usage: `approve [-store ADDRESS] -author NAME [-wait] [-admin ADDRESS] [-timeout T] PROPOSAL
If another approval came first, prints what it changed; exit code 4. With -wait it
returns when the version is in force on every node that can be reached; if that
takes longer than -timeout it names who is missing; exit code 5. After an error it
is safe to approve again: the outcome is looked up, never written twice.`,
	flags: func(set *flag.FlagSet, o *options) {
		storeFlag(set, o)
		authorFlag(set, o)
		adminFlag(set, o)
		jsonFlag(set, o)
		set.BoolVar(&o.wait, "wait", false, "wait until the version is in force")
		set.DurationVar(&o.timeout, "timeout", defaultWait, "longest wait")
	},
	action: runApprove,
}

func runApprove(e *env, args []string) int {
	if len(args) != 1 || e.author == "" {
		return e.failUsage("approve needs -author NAME and the id of a proposal")
	}
	a := approver.Approver{Store: e.storeClient()}
	result, err := a.Approve(e.ctx, args[0], e.author)
	if err != nil {
		return e.fail(exitFailure, err)
	}
	if result.Verdict == approver.Superseded {
		e.printf("not approved: version %d by %s came first (proposal %s). It changed:",
			result.Head.Version, result.Head.Author, result.Head.Operation)
		for _, line := range result.Difference {
			e.printf("  %s", line)
		}
		e.printf("submit the questionnaires again to base them on it")
		return exitSuperseded
	}
	if e.json && !e.wait {
		return e.printJSON(result.Head)
	}
	e.printf("version %d approved", result.Head.Version)
	if !e.wait {
		return exitOK
	}
	return e.awaitVersion(result.Head.Version)
}
