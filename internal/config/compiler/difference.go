package compiler

import (
	"fmt"
	"reflect"
	"sort"
	"strings"
)

// Difference describes in plain words what changes between two sets of contracts.
func Difference(before, after []Contract) []string {
	old := make(map[string]*Contract, len(before))
	for i := range before {
		old[before[i].Service] = &before[i]
	}
	sorted := append([]Contract(nil), after...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Service < sorted[j].Service })
	var lines []string
	for i := range sorted {
		current := &sorted[i]
		previous, ok := old[current.Service]
		delete(old, current.Service)
		if !ok {
			lines = append(lines, fmt.Sprintf("service %s is added with %d operations and %d slots per target", current.Service, len(current.Routes), current.Slots))
			continue
		}
		lines = append(lines, contractDifference(previous, current)...)
	}
	var removed []string
	for name := range old {
		removed = append(removed, fmt.Sprintf("service %s is removed; its operations are no longer served", name))
	}
	sort.Strings(removed)
	return append(lines, removed...)
}

func contractDifference(before, after *Contract) []string {
	var lines []string
	note := func(field string, from, to any) {
		if !reflect.DeepEqual(from, to) {
			lines = append(lines, fmt.Sprintf("service %s: %s changes from %v to %v", after.Service, field, from, to))
		}
	}
	note("owner", before.Owner, after.Owner)
	note("contact", before.Contact, after.Contact)
	note("needs", strings.Join(before.Needs, ", "), strings.Join(after.Needs, ", "))
	note("zones", strings.Join(before.Zones, ", "), strings.Join(after.Zones, ", "))
	note("slots per target", before.Slots, after.Slots)
	old := make(map[string]Route, len(before.Routes))
	for _, route := range before.Routes {
		old[route.Operation] = route
	}
	for _, route := range after.Routes {
		previous, ok := old[route.Operation]
		delete(old, route.Operation)
		if !ok {
			lines = append(lines, fmt.Sprintf("service %s: operation %s is added at %s %s", after.Service, route.Operation, route.Method, route.Path))
			continue
		}
		prefix := "operation " + route.Operation + " "
		note(prefix+"address", previous.Method+" "+previous.Path, route.Method+" "+route.Path)
		note(prefix+"effect", previous.Effect, route.Effect)
		note(prefix+"work", previous.Work, route.Work)
		note(prefix+"longest wait", previous.Timeout, route.Timeout)
	}
	for _, route := range before.Routes {
		if _, gone := old[route.Operation]; gone {
			lines = append(lines, fmt.Sprintf("service %s: operation %s is removed", after.Service, route.Operation))
		}
	}
	return lines
}
