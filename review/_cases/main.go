package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	caseTimeout = 118 * time.Second
)

// cases holds the cases by name. Each returns whether the rule was broken; an error means that the case
// could not run.
var cases = map[string]func(e *env, trouble bool) (broken bool, err error){
	"late-heartbeat": lateHeartbeat,
	"stray-shed":     strayShed,
	"large-bodies":   largeBodies,
	"give-up-leak":   giveUpLeak,
	"clock-born":     clockBorn,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review-cases CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

func runCase(run func(*env, bool) (bool, error), dir string) int {
	rec, err := newRecord(dir)
	if err != nil {
		fmt.Println("case not run:", err)
		return exitNotRun
	}
	e, cleanUp, err := newEnv(rec)
	if err != nil {
		rec.say("case not run: %v", err)
		return exitNotRun
	}
	defer cleanUp()
	trouble := os.Getenv("TROUBLE") != "0"
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := run(e, trouble)
		done <- outcome{broken, err}
	}()
	select {
	case o := <-done:
		if o.err != nil {
			rec.say("case not run: %v", o.err)
			return exitNotRun
		}
		if o.broken {
			rec.say("the rule was broken")
			return exitBroken
		}
		rec.say("the rule held")
		return exitHeld
	case <-time.After(caseTimeout):
		rec.say("case not run: not finished after %s", caseTimeout)
		return exitNotRun
	}
}
