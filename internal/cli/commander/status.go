package commander

import (
	"encoding/json"
	"flag"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"clementinerock/internal/mesh/gossiper"
	"clementinerock/internal/node/announcer"
)

const (
	defaultAdmin = "127.0.0.1:7003"
	adminTimeout = 3 * time.Second
	watchPause   = 500 * time.Millisecond
)

func adminFlag(set *flag.FlagSet, o *options) {
	set.StringVar(&o.admin, "admin", defaultAdmin, "admin address of any node")
}

var statusCommand = command{
	name:     "status",
	synopsis: "say which version is in force on how many nodes",
	usage: `status [-admin ADDRESS] [-watch] [-json]
Names nodes that lag, with the reason, and nodes that can't be reached. Exit code 5
if the version is not in force everywhere. With -watch it prints every change until
it is interrupted.`,
	flags: func(set *flag.FlagSet, o *options) {
		adminFlag(set, o)
		jsonFlag(set, o)
		set.BoolVar(&o.watch, "watch", false, "print every change")
	},
	action: runStatus,
}

func runStatus(e *env, args []string) int {
	if len(args) > 0 {
		return e.usage("status takes no arguments")
	}
	last := ""
	for {
		status, err := e.readStatus()
		if err != nil && !e.watch {
			return e.fail(exitFailure, err)
		}
		if !e.watch {
			return e.showStatus(&status)
		}
		if text := summary(&status); err == nil && text != last {
			last = text
			e.showStatus(&status)
		}
		time.Sleep(watchPause)
	}
}

func (e *env) readStatus() (gossiper.Status, error) {
	var status gossiper.Status
	err := e.adminGet(announcer.PathStatus, &status)
	return status, err
}

func (e *env) adminGet(path string, value any) error {
	client := http.Client{Timeout: adminTimeout}
	response, err := client.Get("http://" + e.admin + path)
	if err != nil {
		return merry.Prepend(err, "ask node")
	}
	defer func() { _ = response.Body.Close() }()
	return merry.Prepend(json.NewDecoder(response.Body).Decode(value), "decode answer of node")
}

func summary(status *gossiper.Status) string {
	text, err := json.Marshal(status)
	if err != nil {
		panic(err) // plain data always encodes
	}
	return string(text)
}

func (e *env) showStatus(status *gossiper.Status) int {
	code := exitOK
	if !status.Complete() {
		code = exitWaiting
	}
	if e.json {
		e.printJSON(status)
		return code
	}
	e.printf("version %d in force on %d of %d nodes", status.Version, status.InForce, status.Nodes)
	for _, zone := range status.Domains {
		e.printf("  zone %s: %d of %d", zone.FailureDomain, zone.InForce, zone.Alive+len(zone.Unreachable))
		for _, name := range zone.Unreachable {
			e.printf("    %s: unreachable", name)
		}
		for _, laggard := range zone.Laggards {
			e.printf("    %s: %s", laggard.Name, laggard.Reason)
		}
	}
	return code
}

// awaitVersion waits until a version is in force on every node that is alive.
func (e *env) awaitVersion(version uint64) int {
	deadline := time.Now().Add(e.timeout)
	for {
		status, err := e.readStatus()
		if err == nil && status.Version >= version && reachableDone(&status) {
			e.showStatus(&status)
			return exitOK
		}
		if time.Now().After(deadline) {
			if err != nil {
				return e.fail(exitWaiting, err)
			}
			e.showStatus(&status)
			return exitWaiting
		}
		time.Sleep(watchPause / 5)
	}
}

func reachableDone(status *gossiper.Status) bool {
	for _, zone := range status.Domains {
		if zone.InForce < zone.Alive {
			return false
		}
	}
	return len(status.Domains) > 0
}
