// Package carrier carries calls and state between nodes: length-prefixed CBOR frames, many
// calls at once on one TCP connection.
package carrier

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"clementinerock/internal/proxy/matcher"
)

// kind is the type of a frame.
type kind uint8

const (
	kindHello kind = iota + 1
	kindCall
	kindAnswer
	kindCancel
	kindState
	kindPing
	kindPong
	kindFetch
	kindUpdate
	kindVoid
	kindVoided
	kindConfirmRequest // a call has a slot; its sender is asked whether it is still wanted
	kindConfirmReply   // the answer
	kindSuspect        // another node does not answer
)

// Call is a request on its way to a target.
type Call struct {
	_                struct{} `cbor:",toarray"`
	ID               []byte   // of the request, as its client sent it
	Attempt          uint64   // tells apart deliveries of one request
	Service          string
	Priority         int           // 0 goes first; of a nested call, that of the request which it is made for
	Nested           bool          // made by a target while it runs another request
	ClientRetry      bool          // its client was turned away before
	NoWait           bool          // to be refused unless a slot is free
	Idempotent       bool          // may run more than once
	Remaining        time.Duration // until nobody waits for the answer any more
	SoftDeadline     time.Duration // time until the soft deadline; negative once it has passed
	LatencyObjective time.Duration // latency objective of the route: an answer within it counts as on time
	OriginService    string        // service on the host where the request began
	Method           []byte
	URI              []byte
	Host             []byte
	Headers          []Header
	Body             []byte

	// Confirm asks the node that sent the call, once it has a slot, whether it is still
	// wanted. Only then may it reach the target. If it is nil, the call is wanted.
	Confirm func() bool `cbor:"-"`
}

// Outcome says what became of a call.
type Outcome uint8

// Outcomes of a call.
const (
	Unknown  Outcome = iota // no answer; it may have run
	Answered                // the target's whole answer
	Refused                 // it never reached the target and never will
	Shed                    // the target rejected it without running it
	Failed                  // it reached the target, which gave no whole answer
	Expired                 // its time was up while the target worked
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"unknown", "answered", "refused", "shed", "failed", "expired"}[o]
}

// Answer is the result of a call.
type Answer struct {
	_               struct{} `cbor:",toarray"`
	Outcome         Outcome
	Reason          string        // in short words, unless answered
	Status          int           // of the target's answer
	Headers         []Header      // of the target's answer
	Body            []byte        // of the target's answer
	RetryAfter      time.Duration // when refused: after which another try may be worthwhile
	MaxWaitExceeded bool          // when refused: it waited for so long that trying elsewhere is of no use
	Load            State         // state of the answering node's target
}

// State is what a node tells of the target beside it.
type State struct {
	_             struct{} `cbor:",toarray"`
	Serving       bool
	Slots         int
	InUse         int
	Waiting       int
	Mean          time.Duration // time in a slot
	Failing       float64       // share of recent calls that the target shed or failed
	ColdRemaining time.Duration // for which the target remains slow after its start
	Waits         []int         // milliseconds that a new call is expected to wait, by priority; none while slots are free
	Version       uint64        // of the configuration in force at the node
	ReadsStore    bool          // follows the store and has heard from it lately
}

// Peer is where a node is found.
type Peer struct {
	_             struct{} `cbor:",toarray"`
	Node          string
	Address       string
	FailureDomain string
	Service       string
	Started       int64 // Unix nanoseconds of the process's start
	MilliCPU      int   // thousandths of a processor core that the host gives to the process
}

// hello is the first frame in both directions.
type hello struct {
	_            struct{} `cbor:",toarray"`
	Self         Peer
	State        State
	LinkID       uint64 // from the node that dialed: drawn at random, tells links apart on both sides
	RequestPeers bool   // from the node that dialed: it wants to know the other's peers
	Temporary    bool   // from the node that dialed: the link is for one question and carries no calls
	Peers        []Peer // if they were asked for
}

type callFrame struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Call   *Call
}

type answerFrame struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Answer *Answer
}

type numberFrame struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
}

type confirmFrame struct {
	_         struct{} `cbor:",toarray"`
	Number    uint64
	Confirmed bool
}

type suspectFrame struct {
	_    struct{} `cbor:",toarray"`
	Node string
}

type voidFrame struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	ID      []byte
	Attempt uint64
	Voided  bool
}

type stateFrame struct {
	_     struct{} `cbor:",toarray"`
	State State
}

type fetchFrame struct {
	_           struct{} `cbor:",toarray"`
	BaseVersion uint64   // version that the sender has; 0 if none
}

type updateFrame struct {
	_      struct{} `cbor:",toarray"`
	Update *matcher.Update
}

var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 17}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()
