package commander

import (
	"flag"
	"os"
	"os/signal"
	"syscall"

	"clementinerock/internal/store/keeper"
	"clementinerock/internal/store/server"
)

var storeCommand = command{
	name:     "store",
	synopsis: "run a stand-in of the platform's store, in memory",
	usage: `store [-listen ADDRESS]
For trials and tests only: everything is lost when it stops.`,
	flags: func(set *flag.FlagSet, o *options) {
		set.StringVar(&o.listen, "listen", defaultStore, "address to listen on")
	},
	action: runStore,
}

func runStore(e *env, args []string) int {
	if len(args) > 0 {
		return e.failUsage("store takes no arguments")
	}
	s, stop, err := server.New(&keeper.MemoryStore{}, e.listen)
	if err != nil {
		return e.fail(exitFailure, err)
	}
	defer stop()
	e.printf("store: listening on %s", s.Address())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return exitOK
}
