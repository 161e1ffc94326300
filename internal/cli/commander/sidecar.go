package commander

import (
	"flag"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"clementinerock/internal/node/counter"
	"clementinerock/internal/node/recorder"
	"clementinerock/internal/proxy/runner"
	"clementinerock/platform"
)

var sidecarCommand = command{
	name:     "sidecar",
	synopsis: "run the node of this host on the users' platform",
	usage: `sidecar [-check]
Runs until SIGTERM or SIGINT, then drains. The platform's environment variable names the
settings file. With -check it only checks the settings. Exit code 3 if they are faulty.`,
	flags: func(set *flag.FlagSet, o *options) {
		set.BoolVar(&o.check, "check", false, "check the settings and stop")
	},
	action: runSidecar,
}

// sidecarGCPercent trades CPU time for memory, since memory has a price on these hosts. Go's default
// is 100.
const sidecarGCPercent = 50

// sidecarMemoryShare is the share of the memory of the process that Go's runtime uses at most, if the live
// objects allow it. The rest is for the pages of the program file, of which about 20 MB are resident.
const sidecarMemoryShare = 0.75

func runSidecar(e *env, args []string) int {
	if len(args) > 0 {
		return e.failUsage("sidecar takes no arguments")
	}
	settings, err := platform.ReadSettings()
	if err != nil {
		return e.fail(exitInvalid, err)
	}
	if e.check {
		e.printf("settings are sound")
		return exitOK
	}
	debug.SetGCPercent(sidecarGCPercent)
	if settings.Memory > 0 {
		debug.SetMemoryLimit(int64(sidecarMemoryShare * float64(settings.Memory)))
	}
	log, dropped, flush := recorder.New(os.Stdout, zapcore.InfoLevel)
	defer flush()
	meter, stopMeter := counter.New()
	defer stopMeter()
	stop := make(chan struct{})
	go handleSignals(log, stop)
	node := runner.Node{Settings: settings, Log: log, Meter: meter, Dropped: dropped}
	if err := node.Run(stop); err != nil {
		log.Error("node: failed", recorder.Err(err))
		return e.fail(exitFailure, err)
	}
	return exitOK
}

// handleSignals closes stop on the first SIGTERM or SIGINT. On SIGHUP it validates the settings
// again; changed settings take effect at the next start.
func handleSignals(log *zap.Logger, stop chan<- struct{}) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	stopped := false
	for s := range signals {
		switch {
		case s == syscall.SIGHUP:
			_, err := platform.ReadSettings()
			log.Info("node: settings read again", recorder.Err(err))
		case !stopped:
			stopped = true
			close(stop)
		}
	}
}
