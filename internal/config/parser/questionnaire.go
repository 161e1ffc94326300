// Package parser reads and checks questionnaires, the TOML files in which teams describe their
// services.
package parser

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/pelletier/go-toml/v2"
)

// Effect is the kind of effect of an operation. It determines whether a call may be retried.
type Effect string

// Effects of an operation on the data of the service.
const (
	EffectLookup Effect = "lookup" // idempotent, may run more than once
	EffectBook   Effect = "book"   // runs at most once
	EffectPay    Effect = "pay"    // runs at most once
)

// Work classifies operations by how long a call usually occupies a slot.
type Work string

// Classes of work.
const (
	WorkShort Work = "short"
	WorkBulk  Work = "bulk"
)

// Limits of the answers in a questionnaire.
const (
	MaxSlots      = 1024
	MaxWait       = 10 * time.Minute
	MinWait       = time.Millisecond
	MaxOperations = 200
)

// Questionnaire is a team's description of its service. Zones lists the failure domains that
// its targets run in, Needs the services that it calls, and Slots is the number of calls that
// each target runs at a time. The TOML decoder includes the names of this type and its fields in
// its error messages, which are printed to the user.
type Questionnaire struct {
	Service    string      `toml:"service" json:"service"`
	Owner      string      `toml:"owner" json:"owner"`
	Contact    string      `toml:"contact" json:"contact"`
	Needs      []string    `toml:"needs" json:"needs"`
	Zones      []string    `toml:"zones" json:"zones"`
	Slots      int         `toml:"slots" json:"slots"`
	Operations []Operation `toml:"operation" json:"operations"`

	File string `toml:"-" json:"-"` // source file, for error messages
}

// Operation is one operation of the service that clients may call. Wait is the maximum time that
// a client waits for the response.
type Operation struct {
	Name   string   `toml:"name" json:"name"`
	Method string   `toml:"method" json:"method"`
	Path   string   `toml:"path" json:"path"`
	Effect Effect   `toml:"effect" json:"effect"`
	Work   Work     `toml:"work" json:"work"`
	Wait   Duration `toml:"wait" json:"wait"`
}

// Duration is a time.Duration that is encoded as text, for example "250ms".
type Duration struct{ time.Duration }

// UnmarshalText parses the text form.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"250ms\" or \"2s\"", text)
	}
	d.Duration = parsed
	return nil
}

// MarshalText returns the text form.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// FieldError reports an invalid value in a questionnaire or settings file.
type FieldError struct {
	File    string
	Field   string
	Found   string
	Allowed string
}

// Error returns a message with the file, the field, the value found and the values allowed.
func (e FieldError) Error() string {
	return fmt.Sprintf("%s: %s: found %s; allowed: %s", e.File, e.Field, e.Found, e.Allowed)
}

// ReadFile reads and checks the questionnaire in a file.
func ReadFile(path string) (Questionnaire, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Questionnaire{}, merry.Prepend(err, "read questionnaire")
	}
	return Parse(path, data)
}

// Parse parses and checks a questionnaire. It reports all invalid answers in one joined error.
func Parse(file string, data []byte) (Questionnaire, error) {
	var q Questionnaire
	decoder := toml.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&q); err != nil {
		return q, DescribeDecodeError(file, err)
	}
	q.File = file
	return q, errors.Join(q.Check()...)
}

// DescribeDecodeError turns an error of the TOML decoder into one that gives the file and line.
func DescribeDecodeError(file string, err error) error {
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) {
		var errs []error
		for _, e := range unknownKeys.Errors {
			line, _ := e.Position()
			field := strings.Join(e.Key(), ".")
			errs = append(errs, FieldError{File: fmt.Sprintf("%s:%d", file, line), Field: field, Found: "an unknown key", Allowed: "only the documented keys"})
		}
		return errors.Join(errs...)
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		field := strings.Join(decodeErr.Key(), ".")
		return FieldError{File: fmt.Sprintf("%s:%d", file, line), Field: field, Found: decodeErr.Error(), Allowed: "valid TOML of the documented type"}
	}
	return merry.Prepend(err, file)
}

var (
	namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	pathPattern = regexp.MustCompile(`^/[A-Za-z0-9._~/-]*(/\*)?$`)
)

// ValidName reports whether name is valid for a service, operation, host or failure domain.
func ValidName(name string) bool { return namePattern.MatchString(name) }

const nameRule = "lower-case letters, digits and hyphens, starting with a letter, at most 63"

// Check returns an error for every invalid answer.
func (q *Questionnaire) Check() []error {
	c := checker{file: q.File}
	c.require(ValidName(q.Service), "service", q.Service, nameRule)
	c.require(strings.TrimSpace(q.Owner) != "", "owner", q.Owner, "the name of the owner")
	c.require(q.Slots >= 1 && q.Slots <= MaxSlots, "slots", q.Slots, fmt.Sprintf("1 to %d", MaxSlots))
	c.require(len(q.Zones) > 0, "zones", q.Zones, "at least one zone")
	for i, domain := range q.Zones {
		c.require(ValidName(domain), fmt.Sprintf("zones[%d]", i), domain, nameRule)
	}
	for i, need := range q.Needs {
		c.require(ValidName(need), fmt.Sprintf("needs[%d]", i), need, nameRule)
		c.require(need != q.Service, fmt.Sprintf("needs[%d]", i), need, "another service")
	}
	count := len(q.Operations)
	c.require(count >= 1 && count <= MaxOperations, "operation", count, fmt.Sprintf("1 to %d operations", MaxOperations))
	seen := make(map[string]bool)
	for i := range q.Operations {
		c.checkOperation(i, &q.Operations[i], seen)
	}
	return c.errs
}

type checker struct {
	file string
	errs []error
}

func (c *checker) require(ok bool, field string, found any, allowed string) {
	if ok {
		return
	}
	c.errs = append(c.errs, FieldError{File: c.file, Field: field, Found: fmt.Sprintf("%#v", found), Allowed: allowed})
}

func (c *checker) checkOperation(index int, op *Operation, seen map[string]bool) {
	field := func(name string) string { return fmt.Sprintf("operation[%d].%s", index, name) }
	c.require(ValidName(op.Name), field("name"), op.Name, nameRule)
	c.require(!seen[op.Name], field("name"), op.Name, "a name used once")
	seen[op.Name] = true
	switch op.Method {
	case "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE":
	default:
		c.require(false, field("method"), op.Method, "GET, HEAD, POST, PUT, PATCH or DELETE")
	}
	c.require(pathPattern.MatchString(op.Path), field("path"), op.Path, "an absolute path, with /* at its end for everything below it")
	c.require(op.Effect == EffectLookup || op.Effect == EffectBook || op.Effect == EffectPay, field("effect"), op.Effect, "lookup, book or pay")
	c.require(op.Work == WorkShort || op.Work == WorkBulk, field("work"), op.Work, "short or bulk")
	c.require(op.Wait.Duration >= MinWait && op.Wait.Duration <= MaxWait, field("wait"), op.Wait.String(), fmt.Sprintf("%s to %s", MinWait, MaxWait))
}
