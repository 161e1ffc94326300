package compiler

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"clementinerock/internal/config/parser"
)

// ValidationError is a problem of one service that makes a set of contracts invalid.
type ValidationError struct {
	Service string
	Problem string
}

// Error returns a message with the service and the problem.
func (e ValidationError) Error() string { return fmt.Sprintf("service %s: %s", e.Service, e.Problem) }

// Check validates a complete set of contracts and returns every error: services described
// twice, limits out of range, dependencies without a contract, routes that two operations
// share, and dependency cycles.
func Check(contracts []Contract) []error {
	sorted := append([]Contract(nil), contracts...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Service < sorted[j].Service })
	byName := make(map[string]*Contract, len(sorted))
	var errs []error
	for i := range sorted {
		contract := &sorted[i]
		if byName[contract.Service] != nil {
			errs = append(errs, ValidationError{contract.Service, "described twice"})
		}
		byName[contract.Service] = contract
	}
	for i := range sorted {
		errs = append(errs, checkLimits(&sorted[i])...)
		errs = append(errs, checkNeeds(&sorted[i], byName)...)
	}
	errs = append(errs, checkPaths(sorted)...)
	return append(errs, checkCycles(sorted, byName)...)
}

func checkLimits(c *Contract) []error {
	var errs []error
	if c.Slots < 1 || c.Slots > parser.MaxSlots {
		errs = append(errs, ValidationError{c.Service, fmt.Sprintf("slots %d not in 1 to %d", c.Slots, parser.MaxSlots)})
	}
	if len(c.Routes) == 0 {
		errs = append(errs, ValidationError{c.Service, "no routes"})
	}
	for i := range c.Routes {
		route := &c.Routes[i]
		if route.Timeout < time.Millisecond || route.Timeout > parser.MaxWait {
			errs = append(errs, ValidationError{c.Service, fmt.Sprintf("operation %s: timeout %s not in 1ms to %s", route.Operation, route.Timeout, parser.MaxWait)})
		}
	}
	return errs
}

func checkNeeds(c *Contract, byName map[string]*Contract) []error {
	var errs []error
	for _, need := range c.Needs {
		if byName[need] == nil {
			errs = append(errs, ValidationError{c.Service, fmt.Sprintf("needs service %s, which has no contract", need)})
		}
	}
	return errs
}

func checkPaths(sorted []Contract) []error {
	claims := make(map[string]string)
	var errs []error
	for i := range sorted {
		for _, route := range sorted[i].Routes {
			claim := route.Method + " " + route.Path
			other, taken := claims[claim]
			if taken {
				errs = append(errs, ValidationError{sorted[i].Service, fmt.Sprintf("path %s is already claimed by service %s", claim, other)})
				continue
			}
			claims[claim] = sorted[i].Service
		}
	}
	return errs
}

const (
	unvisited = iota
	visiting
	visited
)

func checkCycles(sorted []Contract, byName map[string]*Contract) []error {
	states := make(map[string]int)
	var errs []error
	var visit func(c *Contract, chain []string)
	visit = func(c *Contract, chain []string) {
		chain = append(chain, c.Service)
		if states[c.Service] == visiting {
			errs = append(errs, ValidationError{c.Service, "dependency cycle: " + strings.Join(chain, " needs ")})
			return
		}
		if states[c.Service] == visited {
			return
		}
		states[c.Service] = visiting
		for _, need := range c.Needs {
			if next := byName[need]; next != nil {
				visit(next, chain)
			}
		}
		states[c.Service] = visited
	}
	for i := range sorted {
		visit(byName[sorted[i].Service], nil)
	}
	return errs
}
