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
	pollInterval = 500 * time.Millisecond
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
		return e.failUsage("status takes no arguments")
	}
	last := ""
	for {
		status, err := e.readStatus()
		if err != nil && !e.watch {
			return e.fail(exitFailure, err)
		}
		if !e.watch {
			return e.printStatus(&status)
		}
		if text := encodeStatus(&status); err == nil && text != last {
			last = text
			e.printStatus(&status)
		}
		time.Sleep(pollInterval)
	}
}

func (e *env) readStatus() (gossiper.Status, error) {
	var status gossiper.Status
	err := e.adminGet(announcer.PathStatus, &status)
	return status, err
}

// adminGet reads a JSON value from the admin interface of a node.
func (e *env) adminGet(path string, value any) error {
	client := http.Client{Timeout: adminTimeout}
	response, err := client.Get("http://" + e.admin + path)
	if err != nil {
		return merry.Prepend(err, "query admin interface of node")
	}
	defer func() { _ = response.Body.Close() }()
	return merry.Prepend(json.NewDecoder(response.Body).Decode(value), "decode response of node")
}

// encodeStatus returns a status as JSON text, which can be compared.
func encodeStatus(status *gossiper.Status) string {
	text, err := json.Marshal(status)
	if err != nil {
		panic(err) // a Status can always be encoded
	}
	return string(text)
}

// printStatus prints a status and returns exitOK if the version is in force on every node.
func (e *env) printStatus(status *gossiper.Status) int {
	code := exitOK
	if !status.Complete() {
		code = exitNotInForce
	}
	if e.json {
		e.printJSON(status)
		return code
	}
	e.printf("version %d in force on %d of %d nodes", status.Version, status.InForce, status.Nodes)
	for _, domain := range status.Domains {
		e.printf("  zone %s: %d of %d", domain.FailureDomain, domain.InForce, domain.Alive+len(domain.Unreachable))
		for _, name := range domain.Unreachable {
			e.printf("    %s: unreachable", name)
		}
		for _, laggard := range domain.Laggards {
			e.printf("    %s: %s", laggard.Name, laggard.Reason)
		}
	}
	return code
}

// awaitVersion waits until the given version or a newer one is in force on every node that is alive,
// or until the timeout. It prints the status and returns the exit code.
func (e *env) awaitVersion(version uint64) int {
	deadline := time.Now().Add(e.timeout)
	for {
		status, err := e.readStatus()
		if err == nil && status.Version >= version && inForceOnReachable(&status) {
			e.printStatus(&status)
			return exitOK
		}
		if time.Now().After(deadline) {
			if err != nil {
				return e.fail(exitNotInForce, err)
			}
			e.printStatus(&status)
			return exitNotInForce
		}
		time.Sleep(pollInterval / 5)
	}
}

// inForceOnReachable reports whether all nodes that are alive have the newest version in force.
func inForceOnReachable(status *gossiper.Status) bool {
	for _, domain := range status.Domains {
		if domain.InForce < domain.Alive {
			return false
		}
	}
	return len(status.Domains) > 0
}
