package commander

import (
	"flag"
	"strconv"
	"strings"

	"clementinerock/internal/bench/measurer"

	"github.com/ansel1/merry/v2"
)

const defaultSizes = "13,50,100,200"

var measureCommand = command{
	name:     "measure",
	synopsis: "measure meshes of real nodes on this machine",
	usage: `measure [-nodes N,N,...] [-services N] control
measure [-seed N] [-mesh NAME] [-scenario added|crest|line|tail|churn] calls
'control' measures convergence, control traffic and recovery; 'calls' measures the
call path against its baselines. Both take minutes and need an idle machine.`,
	flags: func(set *flag.FlagSet, o *options) {
		set.StringVar(&o.nodes, "nodes", defaultSizes, "numbers of nodes, for 'control'")
		set.IntVar(&o.services, "services", 200, "number of services, for 'control'")
		set.StringVar(&o.mesh, "mesh", "", "one deployment, for 'calls'; all by default")
		set.StringVar(&o.scenario, "scenario", "", "one scenario, for 'calls'; all by default")
		set.Uint64Var(&o.seed, "seed", 1, "seed of the load, for 'calls'")
	},
	action: runMeasure,
}

func runMeasure(e *env, args []string) int {
	if len(args) != 1 {
		return e.failUsage("measure takes 'control' or 'calls'")
	}
	switch args[0] {
	case "control":
		return measureControl(e)
	case "calls":
		m := measurer.Calls{Seed: e.seed, Mesh: e.mesh, Scenario: e.scenario, Out: e.out}
		if err := m.Run(); err != nil {
			return e.fail(exitFailure, err)
		}
		return exitOK
	}
	return e.failUsage("measure takes 'control' or 'calls'")
}

func measureControl(e *env) int {
	var sizes []int
	for _, text := range strings.Split(e.nodes, ",") {
		size, err := strconv.Atoi(text)
		if err != nil || size < 2 {
			return e.fail(exitUsage, merry.Errorf("-nodes: found %q; allowed: numbers from 2", text))
		}
		sizes = append(sizes, size)
	}
	poll, err := measurer.PollBytes()
	if err != nil {
		return e.fail(exitFailure, err)
	}
	e.printf("baseline: one poll of the store's head moves %d bytes; polling each second costs as many bytes a second per node",
		poll)
	m := measurer.Control{Sizes: sizes, Services: e.services, Out: e.out}
	if err := m.Run(); err != nil {
		return e.fail(exitFailure, err)
	}
	return exitOK
}
