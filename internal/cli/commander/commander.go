// Package commander implements the command line, with one file per command or group of commands.
package commander

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/google/subcommands"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"clementinerock/internal/store/caller"
)

// Exit codes.
const (
	exitOK         = int(subcommands.ExitSuccess)
	exitFailure    = int(subcommands.ExitFailure)    // the command failed
	exitUsage      = int(subcommands.ExitUsageError) // invalid arguments or flags
	exitInvalid    = 3                               // invalid settings or questionnaire, or a failed check of demo
	exitSuperseded = 4                               // another proposal was approved first
	exitNotInForce = 5                               // version not in force on every node, or not within -timeout
)

const defaultStore = "127.0.0.1:7100"

// command is one subcommand.
type command struct {
	name     string
	synopsis string
	usage    string
	flags    func(*flag.FlagSet, *options)
	action   func(*env, []string) int
}

// options are the flags of all commands; each command registers those it uses.
type options struct {
	store    string
	admin    string
	settings string
	listen   string
	author   string
	note     string
	mesh     string
	dir      string
	timeout  time.Duration
	seed     uint64
	version  uint64
	json     bool
	watch    bool
	check    bool
	wait     bool
	remove   string
	sabotage bool
	nodes    string
	scenario string
	services int

	method      string
	keyFile     string
	keyVariable string
	retried     bool
}

// env holds the options and outputs of a running command.
type env struct {
	options

	ctx context.Context
	out io.Writer
	err io.Writer
}

// commands lists all commands in the order in which help shows them.
var commands = []command{
	demoCommand,
	nodeCommand,
	sidecarCommand,
	storeCommand,
	keysCommand,
	questionnaireCommand,
	planCommand,
	approveCommand,
	rejectCommand,
	undoCommand,
	historyCommand,
	measureCommand,
	statusCommand,
	dumpCommand,
	explainCommand,
	versionCommand,
}

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	top := flag.NewFlagSet(args[0], flag.ContinueOnError)
	top.SetOutput(errOut)
	commander := subcommands.NewCommander(top, "clementinerock")
	commander.Output = out
	commander.Error = errOut
	commander.Register(commander.HelpCommand(), "help")
	commander.Register(commander.FlagsCommand(), "help")
	for i := range commands {
		commander.Register(&adapter{command: &commands[i], out: out, err: errOut}, "")
	}
	if err := top.Parse(args[1:]); err != nil {
		return exitUsage
	}
	return int(commander.Execute(context.Background()))
}

// adapter implements subcommands.Command for a command.
type adapter struct {
	command *command
	options options
	out     io.Writer
	err     io.Writer
}

// Name returns the name of the command.
func (a *adapter) Name() string { return a.command.name }

// Synopsis returns the one-line description of the command.
func (a *adapter) Synopsis() string { return a.command.synopsis }

// Usage returns the help text of the command.
func (a *adapter) Usage() string { return a.command.usage + "\n" }

// SetFlags registers the flags of the command.
func (a *adapter) SetFlags(set *flag.FlagSet) {
	if a.command.flags != nil {
		a.command.flags(set, &a.options)
	}
}

// Execute runs the action of the command.
func (a *adapter) Execute(ctx context.Context, set *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	e := &env{options: a.options, ctx: ctx, out: a.out, err: a.err}
	return subcommands.ExitStatus(a.command.action(e, set.Args()))
}

// printf prints one line of output.
func (e *env) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(e.out, format+"\n", args...)
}

// fail prints an error to the error output and returns code.
func (e *env) fail(code int, err error) int {
	_, _ = fmt.Fprintf(e.err, "clementinerock: %v\n", err)
	return code
}

// failUsage prints a message about invalid arguments and returns exitUsage.
func (e *env) failUsage(text string) int {
	_, _ = fmt.Fprintf(e.err, "clementinerock: %s\n", text)
	return exitUsage
}

// printJSON prints a value as indented JSON and returns the exit code.
func (e *env) printJSON(value any) int {
	encoder := json.NewEncoder(e.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return e.fail(exitFailure, err)
	}
	return exitOK
}

func (e *env) storeClient() *caller.Client { return caller.New(e.store) }

func storeFlag(set *flag.FlagSet, o *options) {
	set.StringVar(&o.store, "store", defaultStore, "address of the platform's store")
}

func jsonFlag(set *flag.FlagSet, o *options) {
	set.BoolVar(&o.json, "json", false, "print JSON")
}

func authorFlag(set *flag.FlagSet, o *options) {
	set.StringVar(&o.author, "author", "", "name of the operator")
}

// newLog returns a logger that writes JSON lines to standard error. An empty level means info.
func newLog(level string) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	config.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	config.DisableStacktrace = true
	config.DisableCaller = true
	config.Sampling = nil
	if level != "" {
		parsed, err := zapcore.ParseLevel(level)
		if err != nil {
			return nil, err
		}
		config.Level = zap.NewAtomicLevelAt(parsed)
	}
	return config.Build()
}
