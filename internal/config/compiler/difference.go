package compiler

import (
	"fmt"
	"reflect"
	"sort"
	"strings"
)

// Difference returns one line of text for each change between two sets of contracts.
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
	addIfChanged := func(field string, from, to any) {
		if !reflect.DeepEqual(from, to) {
			lines = append(lines, fmt.Sprintf("service %s: %s changes from %v to %v", after.Service, field, from, to))
		}
	}
	addIfChanged("owner", before.Owner, after.Owner)
	addIfChanged("contact", before.Contact, after.Contact)
	addIfChanged("needs", strings.Join(before.Needs, ", "), strings.Join(after.Needs, ", "))
	addIfChanged("zones", strings.Join(before.Zones, ", "), strings.Join(after.Zones, ", "))
	addIfChanged("slots per target", before.Slots, after.Slots)
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
		addIfChanged(prefix+"address", previous.Method+" "+previous.Path, route.Method+" "+route.Path)
		addIfChanged(prefix+"effect", previous.Effect, route.Effect)
		addIfChanged(prefix+"work", previous.Work, route.Work)
		addIfChanged(prefix+"longest wait", previous.Timeout, route.Timeout)
	}
	for _, route := range before.Routes {
		if _, removed := old[route.Operation]; removed {
			lines = append(lines, fmt.Sprintf("service %s: operation %s is removed", after.Service, route.Operation))
		}
	}
	return lines
}
