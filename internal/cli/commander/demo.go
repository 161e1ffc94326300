package commander

import (
	"errors"
	"flag"

	"go.uber.org/zap"

	"clementinerock/internal/demo/player"
)

var demoCommand = command{
	name:     "demo",
	synopsis: "run a whole deployment in one process",
	usage: `demo [-mesh viti|bellenblaas] [-seed N]
Starts a deployment's nodes and stand-in targets on loopback, approves the example
questionnaires, sends calls through a change and planned stops, and checks what
was promised. Exit code 0 if every promise held, 3 if not.`,
	flags: func(set *flag.FlagSet, o *options) {
		set.StringVar(&o.mesh, "mesh", "viti", "deployment: viti or bellenblaas")
		set.Uint64Var(&o.seed, "seed", 1, "seed of the random choices")
		set.BoolVar(&o.sabotage, "sabotage", false, "falsify the targets' counts, to show that the check can fail")
	},
	action: runDemo,
}

func runDemo(e *env, args []string) int {
	if len(args) > 0 {
		return e.failUsage("demo takes no arguments")
	}
	demo := player.Demo{Mesh: e.mesh, Seed: e.seed, Out: e.out, Log: zap.NewNop(), Sabotage: e.sabotage}
	err := demo.Run()
	if errors.Is(err, player.ErrCheckFailed) {
		return exitInvalid
	}
	if err != nil {
		return e.fail(exitFailure, err)
	}
	return exitOK
}
