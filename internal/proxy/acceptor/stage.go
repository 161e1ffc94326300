package acceptor

// stage is what an open request waits for.
type stage int

const (
	stageQueued     stage = iota // earlier requests of the same connection
	stageReading                 // the rest of its head and body, or memory for it
	stageForwarded               // credit of its account, and the answer of a target
	stageResponding              // responses to earlier requests of the connection, and the sending of its own
	stageCount
)

// Stages is the number of open requests by stage.
type Stages struct {
	Queued     int `json:"queued"`     // wait for earlier requests of the same connection
	Reading    int `json:"reading"`    // being read; a connection reads one request at a time
	Forwarded  int `json:"forwarded"`  // wait for credit or for the answer of a target
	Responding int `json:"responding"` // wait until their response can be sent, or is
}

// Stages returns the number of open requests by stage.
func (a *Acceptor) Stages() Stages {
	count := func(s stage) int { return int(a.stages[s].Load()) }
	return Stages{
		Queued:     count(stageQueued),
		Reading:    count(stageReading),
		Forwarded:  count(stageForwarded),
		Responding: count(stageResponding),
	}
}

// openRequest counts a request in the stage that it is in. One goroutine at a time uses it.
type openRequest struct {
	acceptor *Acceptor
	stage    stage
}

// open counts a request whose first byte has arrived.
func (a *Acceptor) open() *openRequest {
	a.openRequests.Add(1)
	a.stages[stageQueued].Add(1)
	return &openRequest{acceptor: a, stage: stageQueued}
}

func (o *openRequest) enter(s stage) {
	o.acceptor.stages[o.stage].Add(-1)
	o.acceptor.stages[s].Add(1)
	o.stage = s
}

func (o *openRequest) end() {
	o.acceptor.stages[o.stage].Add(-1)
	o.acceptor.openRequests.Add(-1)
}
