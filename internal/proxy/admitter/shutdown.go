package admitter

import "time"

const (
	// ampleRuns is the multiple of the mean service time that a call started before the end of its sender's
	// process gets to run.
	ampleRuns = 3

	// minFinalTime is the minimum of that time. It covers the round trips to the node that holds the call, and
	// the sending of its answer to the client.
	minFinalTime = 100 * time.Millisecond
)

// LatestStart returns the time after which a call must not start, because the process that sent it ends at the
// given time and would cut it. mean is the mean service time at its target.
//
// It is designed for a process that is stopped while calls of its requests wait in the queue of a loaded target: those
// that could only just start are refused while that is certainly true, so that their clients can send them elsewhere.
func LatestStart(end time.Time, mean time.Duration) time.Time {
	return end.Add(-max(ampleRuns*mean, minFinalTime))
}
