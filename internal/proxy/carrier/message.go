// Package carrier carries calls and state between nodes: length-prefixed CBOR frames, many
// calls at once on one TCP connection.
package carrier

import (
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"

	"clementinerock/internal/proxy/evaluator"
	"clementinerock/internal/proxy/exposer"
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
	kindConfirmRequest // a call has a slot; its sender is asked to confirm it
	kindConfirmReply   // the sender's reply to that request
	kindSuspect        // another node does not answer pings
	kindPiece          // a part of the body of an answer that follows
	kindUpdatePiece    // a part of an encoded update
	kindCreditRequest  // credit for requests of client accounts is requested or returned
	kindCreditGrant    // the issuer's reply to that request
	kindBodyOffer      // the size of the large body of a call that follows
	kindBodyAccept     // the memory for that body is reserved
	kindBodyPiece      // a part of that body
	kindCallAfterBody  // a call whose body was sent in pieces
	kindLeaseRequest   // a peer is asked to renew a lease in the store
	kindLeaseReply     // its reply
	kindWithdraw       // a call is to be refused unless it has started
	kindPartRequest    // an issuer asks for a node's parts of the rates of client accounts
	kindPartReply      // its reply

	lastKind = kindPartReply
)

// Call is one attempt of a request at a target.
type Call struct {
	_                struct{} `cbor:",toarray"`
	ID               []byte   // request ID, as sent by the client
	Attempt          uint64   // number of the attempt among those of the request
	Service          string
	Priority         int           // 0 is the most urgent; a nested call has its request's priority
	Nested           bool          // call made by a target while it runs another request
	ClientRetry      bool          // client was refused before and sends the request again
	NoWait           bool          // call is to be refused unless a slot is free
	Idempotent       bool          // call may run more than once
	Bulk             bool          // response may be large
	Remaining        time.Duration // time until the deadline, after which no one waits for the answer
	SoftDeadline     time.Duration // time until the soft deadline; negative once it has passed
	LatencyObjective time.Duration // latency within which the route's requests should be answered
	OriginService    string        // service of the target on the host that the client called
	Method           []byte
	URI              []byte
	Host             []byte
	Headers          []Header
	Body             []byte
	Account          string // name of the client account; empty for none
	Class            uint8  // class of the route, see evaluator.ClassOf

	// BodyRest holds further parts of the body, if it was received in parts.
	BodyRest [][]byte `cbor:"-"`

	// Confirm asks the node that sent the call whether it still waits for the answer. It is
	// called once the call has a slot; the call reaches the target only if it returns true.
	// A call whose Confirm is nil needs no confirmation.
	Confirm func() bool `cbor:"-"`

	// Shutdown is that of the process that sends the call; nil if it has none.
	Shutdown *Shutdown `cbor:"-"`

	// NeverRuns is set by Exchange if the client has left and the call certainly has not reached the target.
	NeverRuns bool `cbor:"-"`
}

// Outcome is the way in which a call ended.
type Outcome uint8

// Outcomes of a call.
const (
	Unknown  Outcome = iota // no answer was received; the call may have run
	Answered                // the target responded in full
	Refused                 // the call never reached the target and never will
	Shed                    // the target rejected the call without running it
	Failed                  // the call reached the target, which gave no complete response
	Expired                 // the deadline passed while the target ran the call
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"unknown", "answered", "refused", "shed", "failed", "expired"}[o]
}

// Answer is the result of a call.
type Answer struct {
	_               struct{} `cbor:",toarray"`
	Outcome         Outcome
	Reason          string        // short text, empty if answered
	Status          int           // status of the target's response
	Headers         []Header      // headers of the target's response
	Body            []byte        // body of the target's response
	RetryAfter      time.Duration // if refused: delay after which a retry may succeed; 0 if unknown
	MaxWaitExceeded bool          // if refused: its maximum wait is used up, so no other target is tried
	Load            State         // state of the answering node; ReadsStore is set only with proofs of freshness

	// BodyRest holds further parts of the body, if it was received in parts.
	BodyRest [][]byte `cbor:"-"`
}

// BodySize returns the size of the body in bytes.
func (c *Call) BodySize() int { return len(c.Body) + totalSize(c.BodyRest) }

// BodySize returns the size of the body in bytes.
func (a *Answer) BodySize() int { return len(a.Body) + totalSize(a.BodyRest) }

func totalSize(parts [][]byte) int {
	size := 0
	for _, part := range parts {
		size += len(part)
	}
	return size
}

// State is what a node announces about its target and about itself.
type State struct {
	_             struct{}      `cbor:",toarray"`
	Serving       bool          // whether the target accepts calls
	Slots         int           // number of calls that the target runs at the same time
	InUse         int           // number of slots in use
	Waiting       int           // number of calls in the queue
	Mean          time.Duration // mean service time: the time for which a call holds its slot
	Failing       float64       // share of recent calls that the target shed or failed
	ColdRemaining time.Duration // time for which the target is still slow after its start
	Waits         []int         // expected wait of a new call in ms, by priority; empty while slots are free
	Version       uint64        // version of the active configuration
	ReadsStore    bool          // whether the node reads the store and its last call to it succeeded
	SendWait      int           // time in ms until the node would begin to send a further large response
	SendTime      int           // time in ms that the node takes to send a large response of mean size

	// ProofAge is the age in ms, rounded up to at least 1, of the proof that the newest configuration in
	// the store was no newer than Version; 0 if the node has none or keeps none.
	ProofAge int

	StoreEra      uint64            // era of the store, see platform.Store; not set in answers
	TargetVersion string            // version of the target's software; "" if unknown
	Counts        []evaluator.Count // what the target has answered, while versions of its service are compared
	Rollouts      []Rollout         // rollouts that the node knows of
	Issuing       Issuing           // not set in answers to calls
}

// Rollout is what nodes tell one another of a rollout.
type Rollout = exposer.Rollout

// Peer describes a node by properties that do not change while its process runs.
type Peer struct {
	_             struct{} `cbor:",toarray"`
	Node          string
	Address       string // address for links
	FailureDomain string
	Service       string
	Started       int64 // start time of the process in Unix nanoseconds
	MilliCPU      int   // thousandths of a processor core that the process may use
}

// Outranks reports whether a node is preferred to another one for reading the store: it has more CPU or, if
// both have the same, the smaller hash of its name.
func (p *Peer) Outranks(other *Peer) bool {
	if p.MilliCPU != other.MilliCPU {
		return p.MilliCPU > other.MilliCPU
	}
	if own, others := xxh3.HashString(p.Node), xxh3.HashString(other.Node); own != others {
		return own < others
	}
	return p.Node < other.Node
}

// maxPeerText is the maximum length in bytes of each text of a valid peer.
const maxPeerText = 256

// Check returns an error if no node can be reached by the peer's properties. Peers come from the store,
// to which others write as well, and from other nodes.
func (p *Peer) Check() error {
	if _, err := netip.ParseAddrPort(p.Address); err != nil {
		return merry.Prepend(err, "peer: address")
	}
	if max(len(p.Node), len(p.FailureDomain), len(p.Service)) > maxPeerText {
		return merry.Errorf("peer: a text is longer than %d bytes", maxPeerText)
	}
	return nil
}

// hello is the first frame in both directions of a link.
type hello struct {
	_            struct{} `cbor:",toarray"`
	Self         Peer
	State        State
	LinkID       uint64 // random identifier of the link, chosen by the node that dialed
	RequestPeers bool   // whether the node that dialed requests the peers of the other node
	Temporary    bool   // whether the link carries no calls; set by the node that dialed
	Peers        []Peer // reply to RequestPeers
}

// callFrame carries a call. Number identifies the call among those of its sender on the link.
type callFrame struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Call   *Call
}

// answerFrame carries the answer to a call.
type answerFrame struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Answer *Answer
	Size   int // size in bytes of the body if it was sent in pieces before; 0 otherwise
}

// offerFrame announces the size of the body of a call.
type offerFrame struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Size   int
}

// pieceFrame carries a part of the body of a call or of its answer.
type pieceFrame struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Size   int // size in bytes of the whole body
	Data   []byte
}

// numberFrame cancels a call, requests its confirmation or accepts its body, depending on its kind.
type numberFrame struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
}

// confirmFrame replies to the request to confirm a call.
type confirmFrame struct {
	_         struct{} `cbor:",toarray"`
	Number    uint64
	Confirmed bool
}

// suspectFrame announces that a node does not answer pings.
type suspectFrame struct {
	_    struct{} `cbor:",toarray"`
	Node string
}

// voidFrame requests that an attempt be voided, and replies to that request.
type voidFrame struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	ID      []byte
	Attempt uint64
	Voided  bool
}

// stateFrame carries the sender's state; pings and pongs carry it as well.
type stateFrame struct {
	_     struct{} `cbor:",toarray"`
	State State
}

// fetchFrame requests an update of the configuration.
type fetchFrame struct {
	_           struct{} `cbor:",toarray"`
	BaseVersion uint64   // version that the sender has; 0 if none
}

// updateFrame carries an update of the configuration.
type updateFrame struct {
	_      struct{} `cbor:",toarray"`
	Update *matcher.Update
}

// updatePieceFrame carries a part of the encoded body of an update frame. The parts of one update follow
// one another.
type updatePieceFrame struct {
	_    struct{} `cbor:",toarray"`
	Size int      // size in bytes of the whole encoded body
	Data []byte
}

// encMode encodes the bodies of frames.
var encMode = func() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// decMode decodes the bodies of frames.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 17}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()
