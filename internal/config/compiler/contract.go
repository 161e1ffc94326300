// Package compiler turns questionnaires into contracts, the configuration that nodes apply.
// The result depends only on the answers and not on the order in which they are given.
package compiler

import (
	"sort"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"clementinerock/internal/config/parser"
)

// Contract is the compiled configuration of one service. Zones lists the failure domains that
// its targets run in, Needs the services that it calls, and Slots is the number of calls that
// each target runs at a time.
type Contract struct {
	Service string   `cbor:"1,keyasint" json:"service"`
	Owner   string   `cbor:"2,keyasint" json:"owner"`
	Contact string   `cbor:"3,keyasint,omitempty" json:"contact"`
	Needs   []string `cbor:"4,keyasint,omitempty" json:"needs"`
	Zones   []string `cbor:"5,keyasint" json:"zones"`
	Slots   int      `cbor:"6,keyasint" json:"slots"`
	Routes  []Route  `cbor:"7,keyasint" json:"routes"`
}

// Route maps a method and path to an operation of the service.
type Route struct {
	Operation string        `cbor:"1,keyasint" json:"operation"`
	Method    string        `cbor:"2,keyasint" json:"method"`
	Path      string        `cbor:"3,keyasint" json:"path"`
	Effect    parser.Effect `cbor:"4,keyasint" json:"effect"`
	Work      parser.Work   `cbor:"5,keyasint" json:"work"`
	Timeout   time.Duration `cbor:"6,keyasint" json:"timeout"`
}

// Idempotent reports whether a call of the operation may be retried after it may have run.
func (r *Route) Idempotent() bool { return r.Effect == parser.EffectLookup }

var encMode = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Compile turns one questionnaire into its contract.
func Compile(q *parser.Questionnaire) Contract {
	contract := Contract{
		Service: q.Service,
		Owner:   q.Owner,
		Contact: q.Contact,
		Needs:   sortedSet(q.Needs),
		Zones:   sortedSet(q.Zones),
		Slots:   q.Slots,
	}
	for i := range q.Operations {
		op := &q.Operations[i]
		contract.Routes = append(contract.Routes, Route{
			Operation: op.Name,
			Method:    op.Method,
			Path:      op.Path,
			Effect:    op.Effect,
			Work:      op.Work,
			Timeout:   op.Wait.Duration,
		})
	}
	sort.Slice(contract.Routes, func(i, j int) bool {
		return contract.Routes[i].Operation < contract.Routes[j].Operation
	})
	return contract
}

// Encode returns the deterministic CBOR encoding of the contract.
func (c *Contract) Encode() []byte {
	data, err := encMode.Marshal(c)
	if err != nil {
		panic(err) // cannot happen: the contract holds only plain data
	}
	return data
}

// Decode reads a contract from its CBOR encoding.
func Decode(data []byte) (Contract, error) {
	var contract Contract
	if err := cbor.Unmarshal(data, &contract); err != nil {
		return contract, merry.Prepend(err, "decode contract")
	}
	return contract, nil
}

// sortedSet returns the names sorted and without duplicates; nil if there are none.
func sortedSet(names []string) []string {
	if len(names) == 0 {
		return nil
	}
	sorted := append([]string(nil), names...)
	sort.Strings(sorted)
	unique := sorted[:1]
	for _, name := range sorted[1:] {
		if name != unique[len(unique)-1] {
			unique = append(unique, name)
		}
	}
	return unique
}
