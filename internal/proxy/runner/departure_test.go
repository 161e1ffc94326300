package runner

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"clementinerock/platform/standin"
)

// lateHeartbeat is the sequence number of a heartbeat that a target has sent but that has not arrived.
func (h *host) lateHeartbeat(t *testing.T) int64 {
	t.Helper()
	close(h.stopHeartbeats)
	time.Sleep(150 * time.Millisecond) // the heartbeats have stopped
	return h.sequence.Add(1)
}

// assertUnused sends requests and checks that none of them reaches the target of a host.
func assertUnused(t *testing.T, h, sender *host) {
	t.Helper()
	before := h.arrived.Load()
	for range 30 {
		status, _, err := sender.send("/a/x", "")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
	assert.Equal(t, h.arrived.Load(), before)
}

// TestLateHeartbeatAfterRestart guards against the use of a target that has left: its node is restarted
// after it has acknowledged the departure, and receives a heartbeat that was sent before.
func TestLateHeartbeatAfterRestart(t *testing.T) {
	t.Parallel()
	tests := map[string]struct{ kind, state string }{
		"leave": {kind: "leave"},
		"drain": {kind: "heartbeat", state: "draining"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := startMesh(t, "first", "first", "second")
			leaving := m.hosts[0]
			leaving.waitForOK(t, "/a/x")
			late := leaving.lateHeartbeat(t)
			assert.Assert(t, leaving.sendReport(test.kind, test.state, leaving.sequence.Add(1), firstBorn))
			leaving.restartNode(t)
			leaving.waitForOK(t, "/a/x")
			leaving.sendReport("heartbeat", "ready", late, firstBorn)
			assertUnused(t, leaving, leaving)
			assertUnused(t, leaving, m.hosts[2])
		})
	}
}

// TestDepartureWithoutStore checks that a departure takes effect at once while the store is unavailable,
// but is acknowledged only when it is stored.
func TestDepartureWithoutStore(t *testing.T) {
	t.Parallel()
	m := startMesh(t, "first", "first", "second")
	leaving := m.hosts[0]
	leaving.waitForOK(t, "/a/x")
	late := leaving.lateHeartbeat(t)
	m.store.SetFaults(standin.Faults{Refuse: true})
	assert.Assert(t, !leaving.sendReport("leave", "", 0, firstBorn))
	time.Sleep(time.Second) // the target may get calls for a part of the drain period
	assertUnused(t, leaving, m.hosts[2])
	m.store.SetFaults(standin.Faults{})
	assert.Assert(t, leaving.sendReport("leave", "", 0, firstBorn))
	leaving.restartNode(t)
	leaving.sendReport("heartbeat", "ready", late, firstBorn)
	assertUnused(t, leaving, m.hosts[2])
}

// TestHeartbeatWithoutStore checks that a restarted node does not use its target while it cannot read
// whether the target has left.
func TestHeartbeatWithoutStore(t *testing.T) {
	t.Parallel()
	m := startMesh(t, "first", "first", "second")
	leaving := m.hosts[0]
	leaving.waitForOK(t, "/a/x")
	late := leaving.lateHeartbeat(t)
	assert.Assert(t, leaving.sendReport("leave", "", 0, firstBorn))
	m.store.SetFaults(standin.Faults{Unresponsive: true})
	leaving.restartNode(t)
	for range 3 {
		assert.Assert(t, !leaving.sendReport("heartbeat", "ready", late, firstBorn))
	}
	assertUnused(t, leaving, m.hosts[2])
	m.store.SetFaults(standin.Faults{})
	time.Sleep(2 * time.Second)
	leaving.sendReport("heartbeat", "ready", late, firstBorn)
	assertUnused(t, leaving, m.hosts[2])
}

// TestDepartureAfterClockJumpedBack guards against a departure that is acknowledged and ignored: the
// target was restarted after the clock of its host had jumped back.
func TestDepartureAfterClockJumpedBack(t *testing.T) {
	t.Parallel()
	tests := map[string]struct{ kind, state string }{
		"leave": {kind: "leave"},
		"drain": {kind: "heartbeat", state: "draining"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := startMesh(t, "first", "first", "second")
			leaving := m.hosts[0]
			leaving.waitForOK(t, "/a/x")
			late := leaving.lateHeartbeat(t)
			assert.Assert(t, leaving.sendReport("heartbeat", "ready", 1, firstBorn-900))
			assert.Assert(t, leaving.sendReport(test.kind, test.state, 2, firstBorn-900))
			time.Sleep(time.Second) // the target may get calls for a part of the drain period
			assertUnused(t, leaving, m.hosts[2])
			leaving.sendReport("heartbeat", "ready", late, firstBorn)
			assertUnused(t, leaving, m.hosts[2])
		})
	}
}
