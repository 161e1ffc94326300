package commander

import (
	"flag"
	"strings"

	"clementinerock/internal/config/approver"
	"clementinerock/internal/config/compiler"
	"clementinerock/internal/config/parser"
)

// questionnaireTemplate is the output of questionnaire new. Each %s stands for the name of the
// service.
const questionnaireTemplate = `# Who runs the service, and whom to ask about it.
service = "%s"
owner = ""
contact = ""

# Services that this one calls.
needs = []

# Zones that its targets run in, and calls that each target handles at a time.
zones = []
slots = 6

# One table for each operation.
#   effect: lookup may be repeated; book and pay run at most once
#   work:   short or bulk
#   wait:   how long a caller may wait
[[operation]]
name = "show"
method = "GET"
path = "/%s/*"
effect = "lookup"
work = "short"
wait = "1s"
`

var questionnaireCommand = command{
	name:     "questionnaire",
	synopsis: "start, check or submit questionnaires",
	usage: `questionnaire new SERVICE
questionnaire check FILE...
questionnaire submit [-store ADDRESS] -author NAME [-note TEXT] [-remove SERVICES] FILE...
'submit' stores a proposal and prints its id; nothing is stored if any answer is
faulty. Exit code 3 if an answer is faulty.`,
	flags:  questionnaireFlags,
	action: runQuestionnaire,
}

func questionnaireFlags(set *flag.FlagSet, o *options) {
	storeFlag(set, o)
	authorFlag(set, o)
	jsonFlag(set, o)
	set.StringVar(&o.note, "note", "", "why the change is made")
	set.StringVar(&o.remove, "remove", "", "services to remove, separated by commas")
}

func runQuestionnaire(e *env, args []string) int {
	if len(args) == 0 {
		return e.failUsage("questionnaire takes 'new', 'check' or 'submit'")
	}
	// Flags are also accepted after the first argument.
	set := flag.NewFlagSet("questionnaire "+args[0], flag.ContinueOnError)
	set.SetOutput(e.err)
	questionnaireFlags(set, &e.options)
	if err := set.Parse(args[1:]); err != nil {
		return exitUsage
	}
	switch rest := set.Args(); args[0] {
	case "new":
		return newQuestionnaire(e, rest)
	case "check":
		return checkQuestionnaires(e, rest)
	case "submit":
		return submitQuestionnaires(e, rest)
	}
	return e.failUsage("questionnaire takes 'new', 'check' or 'submit'")
}

func newQuestionnaire(e *env, args []string) int {
	if len(args) != 1 || !parser.ValidName(args[0]) {
		return e.failUsage("'new' takes the name of a service: lower-case letters, digits and hyphens")
	}
	e.printf("%s", strings.ReplaceAll(strings.TrimSuffix(questionnaireTemplate, "\n"), "%s", args[0]))
	return exitOK
}

// readQuestionnaires reads the valid questionnaires and returns the errors of the others.
func readQuestionnaires(files []string) ([]parser.Questionnaire, []error) {
	var list []parser.Questionnaire
	var faults []error
	for _, file := range files {
		q, err := parser.ReadFile(file)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		list = append(list, q)
	}
	return list, faults
}

// faults prints the errors found in questionnaires and returns exitInvalid.
func (e *env) faults(faults []error) int {
	for _, fault := range faults {
		e.fail(exitInvalid, fault)
	}
	return exitInvalid
}

func checkQuestionnaires(e *env, files []string) int {
	if len(files) == 0 {
		return e.failUsage("'check' takes files")
	}
	list, faults := readQuestionnaires(files)
	if len(faults) > 0 {
		return e.faults(faults)
	}
	var contracts []compiler.Contract
	for i := range list {
		contracts = append(contracts, compiler.Compile(&list[i]))
	}
	if faults := compiler.Check(contracts); len(faults) > 0 {
		return e.faults(faults)
	}
	e.printf("%d questionnaires are sound", len(list))
	return exitOK
}

func submitQuestionnaires(e *env, files []string) int {
	if e.author == "" {
		return e.failUsage("'submit' needs -author NAME")
	}
	if len(files) == 0 && e.remove == "" {
		return e.failUsage("'submit' takes files")
	}
	list, faults := readQuestionnaires(files)
	if len(faults) > 0 {
		return e.faults(faults)
	}
	var remove []string
	if e.remove != "" {
		remove = strings.Split(e.remove, ",")
	}
	a := approver.Approver{Store: e.storeClient()}
	proposal, err := a.Submit(e.ctx, list, remove, e.author, e.note)
	if err != nil {
		return e.fail(exitInvalid, err)
	}
	if e.json {
		return e.printJSON(proposal)
	}
	e.printf("proposal %s, based on version %d", proposal.ID, proposal.Base)
	return exitOK
}
