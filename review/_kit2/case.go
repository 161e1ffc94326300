package kit

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	Failed = 2 // the case could not run
)

// Case runs a case in the folder that the first argument names, and exits with its result. trouble is false if
// the environment has TROUBLE=0.
func Case(run func(r *Record, trouble bool) (int, error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: CASE FOLDER")
		os.Exit(Failed)
	}
	record, err := NewRecord(os.Args[1] + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(Failed)
	}
	code, err := run(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.Add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = Failed
	}
	record.Add("result: %d", code)
	os.Exit(code)
}

// Say adds a line to the record and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}
