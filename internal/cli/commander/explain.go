package commander

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"net/http"
	"os"
	"strings"

	"github.com/ansel1/merry/v2"

	"clementinerock/internal/proxy/forwarder"
	"clementinerock/internal/proxy/runner"
)

var explainCommand = command{
	name:     "explain",
	synopsis: "say where a node of the users' platform would send a request now, and why",
	usage: `explain [-admin ADDRESS] [-method METHOD] [-key-file FILE | -key-env VARIABLE] [-retried] [-json] HOST PATH
Sends no request and changes nothing. The key is read from a file or an environment variable,
since other processes can see arguments. Exit code 1 if the node can't be reached.`,
	flags: func(set *flag.FlagSet, o *options) {
		adminFlag(set, o)
		jsonFlag(set, o)
		set.StringVar(&o.method, "method", http.MethodGet, "method of the request")
		set.StringVar(&o.keyFile, "key-file", "", "file with the key of the client account")
		set.StringVar(&o.keyVariable, "key-env", "", "environment variable with the key")
		set.BoolVar(&o.retried, "retried", false, "the client was refused before")
	},
	action: runExplain,
}

func runExplain(e *env, args []string) int {
	if len(args) != 2 || !strings.HasPrefix(args[1], "/") {
		return e.failUsage("explain takes a host and a path that begins with a slash")
	}
	if e.keyFile != "" && e.keyVariable != "" {
		return e.failUsage("explain takes -key-file or -key-env, not both")
	}
	key, err := e.readKey()
	if err != nil {
		return e.fail(exitFailure, err)
	}
	query := runner.Query{Method: e.method, Host: args[0], Path: args[1], Key: key, Retried: e.retried}
	var explanation runner.Explanation
	if err := e.adminPost(runner.PathExplain, query, &explanation); err != nil {
		return e.fail(exitFailure, err)
	}
	if e.json {
		return e.printJSON(explanation)
	}
	e.printExplanation(&explanation)
	return exitOK
}

// readKey returns the key of the client account, or "" if there is none.
func (e *env) readKey() (string, error) {
	key := ""
	switch {
	case e.keyFile != "":
		text, err := os.ReadFile(e.keyFile)
		if err != nil {
			var cause *fs.PathError // the path is left out, since it may be the key by mistake
			if errors.As(err, &cause) {
				err = cause.Err
			}
			return "", merry.Prepend(err, "read key")
		}
		key = string(text)
	case e.keyVariable != "":
		key = os.Getenv(e.keyVariable)
	default:
		return "", nil
	}
	key = strings.TrimSpace(key)
	if key == "" {
		return "", merry.New("the key is empty")
	}
	return key, nil
}

// adminPost sends a JSON value to the admin interface of a node and reads the response. Errors contain neither.
func (e *env) adminPost(path string, query, value any) error {
	body, err := json.Marshal(query)
	if err != nil {
		return merry.New("encode query")
	}
	client := http.Client{Timeout: adminTimeout}
	response, err := client.Post("http://"+e.admin+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return merry.Prepend(err, "query admin interface of node")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return merry.Errorf("admin interface of node responded with status %d", response.StatusCode)
	}
	return merry.Prepend(json.NewDecoder(response.Body).Decode(value), "decode response of node")
}

func (e *env) printExplanation(x *runner.Explanation) {
	e.printf("%s %q %q at node %s, configuration version %d", x.Method, x.Host, x.Path, x.Node, x.Version)
	switch {
	case x.Status != 0:
		e.printf("refused with status %d: %s%s", x.Status, x.Reason, retryText(x.RetryAfterMillis))
	case x.Choice != nil:
		e.printf("most likely to %s of service %s (%.0f%%)", x.Choice.Node, x.Choice.Service, 100*x.Choice.Probability)
	}
	if x.Status == 0 && x.Refused > 0 {
		e.printf("refused without an attempt with a probability of %.0f%%", 100*x.Refused)
	}
	if r := x.Route; r != nil {
		e.printf("route %s: host %s, prefix %s, idempotent %t, public %t, timeout %.0f ms, latency objective %.0f ms",
			r.Name, r.Host, r.Prefix, r.Idempotent, r.Public, r.TimeoutMillis, r.ObjectiveMillis)
		e.printf("priority %d", x.Priority)
	}
	if x.Key != nil {
		e.printf("key: %s, needed %t, account %s", x.Key.Verdict, x.Key.Needed, orNone(x.Key.Account))
	}
	if x.Proof != nil {
		e.printf("proof of freshness: sufficient %t, age %.2f s", x.Proof.Fresh, x.Proof.Age)
	}
	if c := x.Cap; c != nil {
		e.printf("usage cap: %g per s, burst %g, issuer %s, credit here %d, requests waiting for credit %d, limited %t%s",
			c.Rate, c.Burst, orNone(c.Issuer), c.Credit, c.Waiting, c.Limited, retryText(c.RetryAfterMillis))
	}
	for i := range x.Services {
		e.printService(&x.Services[i])
	}
}

func (e *env) printService(s *forwarder.Explanation) {
	e.printf("service %s: weight %g, gets the request with a probability of %.0f%%", s.Service, s.Weight, 100*s.Share)
	if s.Rollout != nil {
		e.printf("  rollout to version %s: %s, share now %.1f%%", s.Rollout.Version, s.Rollout.Phase, 100*s.Rollout.Share)
	}
	choice := "lowest score"
	if s.Even {
		choice = "lowest score of random draws by weight"
	}
	e.printf("  choice: %s; targets with a longer wait than %.0f ms are skipped: %t", choice, s.MaxWaitMillis, s.TrustsWaits)
	for i := range s.Targets {
		t := &s.Targets[i]
		e.printf("  %s: %.0f%%, zone %s (same %t), version %s, slots %d, busy %d, waiting %d, open %d, report %.0f ms old, wait %.0f ms, score %.4f, weight %.4g%s",
			t.Node, 100*t.Probability, t.FailureDomain, t.SameDomain, orNone(t.Version), t.Slots, t.Busy, t.Waiting,
			t.Open, t.AgeMillis, t.WaitMillis, t.Score, t.Weight, reasonText(t.Reason))
	}
	for _, r := range s.Refusals {
		e.printf("  refused with a probability of %.0f%%: %s%s", 100*r.Probability, r.Reason, retryText(r.RetryAfterMillis))
	}
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

func reasonText(reason string) string {
	if reason == "" {
		return ""
	}
	return " (" + reason + ")"
}

func retryText(delayMillis float64) string {
	if delayMillis == 0 {
		return ""
	}
	return fmt.Sprintf(", retry after %.0f ms", delayMillis)
}
