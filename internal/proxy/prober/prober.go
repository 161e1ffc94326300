// Package prober decides how many attempts of a request only look for a free slot before an attempt may
// wait in the queue of a target. It performs no I/O.
package prober

const (
	maxProbes = 3 // maximum number of probes per request

	// manyFree and someFree are the shares of successful probes from which a request makes maxProbes
	// probes and fewProbes. Below someFree, the time for probes exceeds the wait that they save.
	manyFree  = 0.4
	someFree  = 0.15
	fewProbes = 2

	// explored is the share of requests that make one probe although few succeed, so that the end of
	// an overload is noticed.
	explored = 0.1

	probeWeight = 0.05 // weight of one probe in the moving average

	// contendedFrom and contendedUntil are the shares of failed probes from which the targets of a service
	// count as contended, and until which they still do. In the replay of docs/design/even-load.md a third
	// of the probes fails at a load of 0.6, from which on requests wait while other targets are idle.
	contendedFrom  = 0.3
	contendedUntil = 0.15
)

// Prober measures the share of probes that found a free slot at the targets of one service.
//
// It is designed for an overload of many targets. A node exchanges calls with each of them so rarely
// that their reports are old, and most slots that a report shows as free are in use. Requests that look
// for a free slot three times each then multiply the calls between nodes when these have the least
// processor time left, and reach a queue later than if they had joined one at once.
//
// The zero value expects that slots are free.
type Prober struct {
	failed    float64 // moving average of the share of probes that found no free slot
	contended bool
}

// Probes returns the number of attempts that are to look for a free slot. draw is a random number in
// [0, 1).
func (p *Prober) Probes(draw float64) int {
	switch found := 1 - p.failed; {
	case found >= manyFree:
		return maxProbes
	case found >= someFree:
		return fewProbes
	case draw < explored:
		return 1
	}
	return 0
}

// Record adds the result of a probe.
func (p *Prober) Record(found bool) {
	sample := 1.0
	if found {
		sample = 0
	}
	p.failed += probeWeight * (sample - p.failed)
	switch {
	case p.failed >= contendedFrom:
		p.contended = true
	case p.failed < contendedUntil:
		p.contended = false
	}
}

// Contended reports whether many probes go to targets whose slots others have just taken, which happens if
// many callers choose the same targets.
func (p *Prober) Contended() bool { return p.contended }
