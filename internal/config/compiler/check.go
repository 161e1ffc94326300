package compiler

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"clementinerock/internal/config/parser"
)

// ValidationError is a reason why a set of contracts can't be in force together.
type ValidationError struct {
	Service string
	Problem string
}

// Error names the service and the problem.
func (f ValidationError) Error() string { return fmt.Sprintf("service %s: %s", f.Service, f.Problem) }

// Check returns every fault of a whole set of contracts: needs that are not
// there, dependency cycles, paths claimed twice and limits out of range.
func Check(contracts []Contract) []error {
	sorted := append([]Contract(nil), contracts...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Service < sorted[j].Service })
	byName := make(map[string]*Contract, len(sorted))
	var faults []error
	for i := range sorted {
		contract := &sorted[i]
		if byName[contract.Service] != nil {
			faults = append(faults, ValidationError{contract.Service, "described twice"})
		}
		byName[contract.Service] = contract
	}
	for i := range sorted {
		faults = append(faults, checkLimits(&sorted[i])...)
		faults = append(faults, checkNeeds(&sorted[i], byName)...)
	}
	faults = append(faults, checkPaths(sorted)...)
	return append(faults, checkCycles(sorted, byName)...)
}

func checkLimits(c *Contract) []error {
	var faults []error
	if c.Slots < 1 || c.Slots > parser.MaxSlots {
		faults = append(faults, ValidationError{c.Service, fmt.Sprintf("slots %d not in 1 to %d", c.Slots, parser.MaxSlots)})
	}
	if len(c.Routes) == 0 {
		faults = append(faults, ValidationError{c.Service, "no routes"})
	}
	for i := range c.Routes {
		route := &c.Routes[i]
		if route.Timeout < time.Millisecond || route.Timeout > parser.MaxWait {
			faults = append(faults, ValidationError{c.Service, fmt.Sprintf("operation %s: timeout %s not in 1ms to %s", route.Operation, route.Timeout, parser.MaxWait)})
		}
	}
	return faults
}

func checkNeeds(c *Contract, byName map[string]*Contract) []error {
	var faults []error
	for _, need := range c.Needs {
		if byName[need] == nil {
			faults = append(faults, ValidationError{c.Service, fmt.Sprintf("needs service %s, which has no contract", need)})
		}
	}
	return faults
}

func checkPaths(sorted []Contract) []error {
	claims := make(map[string]string)
	var faults []error
	for i := range sorted {
		for _, route := range sorted[i].Routes {
			claim := route.Method + " " + route.Path
			other, taken := claims[claim]
			if taken {
				faults = append(faults, ValidationError{sorted[i].Service, fmt.Sprintf("path %s is already claimed by service %s", claim, other)})
				continue
			}
			claims[claim] = sorted[i].Service
		}
	}
	return faults
}

const (
	unvisited = iota
	visiting
	visited
)

func checkCycles(sorted []Contract, byName map[string]*Contract) []error {
	marks := make(map[string]int)
	var faults []error
	var visit func(c *Contract, trail []string)
	visit = func(c *Contract, trail []string) {
		trail = append(trail, c.Service)
		if marks[c.Service] == visiting {
			faults = append(faults, ValidationError{c.Service, "dependency cycle: " + strings.Join(trail, " needs ")})
			return
		}
		if marks[c.Service] == visited {
			return
		}
		marks[c.Service] = visiting
		for _, need := range c.Needs {
			if next := byName[need]; next != nil {
				visit(next, trail)
			}
		}
		marks[c.Service] = visited
	}
	for i := range sorted {
		visit(byName[sorted[i].Service], nil)
	}
	return faults
}
