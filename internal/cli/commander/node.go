package commander

import (
	"flag"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"clementinerock/internal/call/picker"
	"clementinerock/internal/mesh/signer"
	"clementinerock/internal/node/announcer"
	"clementinerock/internal/node/loader"
	"clementinerock/internal/node/runner"
	"clementinerock/internal/store/caller"
)

var nodeCommand = command{
	name:     "node",
	synopsis: "run the node of this host",
	usage: `node -settings FILE [-check]
Runs until SIGTERM or SIGINT, then drains: calls in flight end, no new ones start.
With -check it only checks the settings. Exit code 3 if they are faulty.`,
	flags: func(set *flag.FlagSet, o *options) {
		set.StringVar(&o.settings, "settings", "node.toml", "settings file")
		set.BoolVar(&o.check, "check", false, "check the settings and stop")
	},
	action: runNode,
}

func runNode(e *env, args []string) int {
	if len(args) > 0 {
		return e.failUsage("node takes no arguments")
	}
	settings, err := loader.ReadFile(e.settings)
	if err != nil {
		return e.fail(exitInvalid, err)
	}
	identity, err := readIdentity(settings.Keys)
	if err != nil {
		return e.fail(exitInvalid, err)
	}
	if identity.Name() != settings.Name {
		return e.fail(exitInvalid, merry.Errorf("%s: keys.certificate: found the name %q; allowed: %q",
			e.settings, identity.Name(), settings.Name))
	}
	if e.check {
		e.printf("%s: settings are sound", e.settings)
		return exitOK
	}
	log, err := newLog(settings.Log.Level)
	if err != nil {
		return e.fail(exitInvalid, err)
	}
	if err := serveNode(&settings, identity, log); err != nil {
		return e.fail(exitFailure, err)
	}
	return exitOK
}

// readIdentity reads the PEM files of the node's identity.
func readIdentity(keys loader.Keys) (signer.Identity, error) {
	authority, err := os.ReadFile(keys.Authority)
	if err != nil {
		return signer.Identity{}, merry.Prepend(err, "read keys.authority")
	}
	var pair signer.KeyPair
	if pair.Certificate, err = os.ReadFile(keys.Certificate); err != nil {
		return signer.Identity{}, merry.Prepend(err, "read keys.certificate")
	}
	if pair.Key, err = os.ReadFile(keys.Key); err != nil {
		return signer.Identity{}, merry.Prepend(err, "read keys.key")
	}
	return signer.NewIdentity(pair, authority)
}

// nodeGCPercent trades CPU time for memory, since each host has little memory for the node. Go's
// default is 100.
const nodeGCPercent = 40

// serveNode runs a node and its admin interface until a signal, then shuts down gracefully.
func serveNode(settings *loader.Settings, identity signer.Identity, log *zap.Logger) error {
	debug.SetGCPercent(nodeGCPercent)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	node, stopNode, err := runner.New(runner.Config{
		Host:     settings.Host(),
		Calls:    settings.Listen.Calls,
		Identity: identity,
		Store:    caller.New(settings.Store.Address),
		Peers:    settings.Peers.Addresses,
		Pick:     picker.New(settings.Calls.Pick),
		Limit:    settings.Calls.Limit,
		Hedging:  settings.Calls.Hedging(),
		Log:      log,
	})
	if err != nil {
		return err
	}
	defer stopNode()
	_, stopAdmin, err := announcer.New(settings.Listen.Admin, node, node.Metrics().Handler())
	if err != nil {
		return err
	}
	defer stopAdmin()
	log.Info("node: started", zap.String("node", settings.Name), zap.String("zone", settings.FailureDomain))
	<-signals
	err = node.Leave()
	log.Info("node: stopped", zap.String("node", settings.Name))
	return err
}
