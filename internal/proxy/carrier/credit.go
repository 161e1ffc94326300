package carrier

import "time"

// CreditServer handles the frames by which entry nodes and issuers exchange credit for the requests of
// client accounts. Its methods must not block, except RenewLease.
type CreditServer interface {
	// GrantCredit serves a request for credit.
	GrantCredit(request *CreditRequest) *CreditGrant
	// ReceiveCredit receives the reply of an issuer.
	ReceiveCredit(grant *CreditGrant)
	// LendParts serves a request of an issuer for the parts of this node.
	LendParts(issuer *Peer, request *PartRequest) *PartReply
	// ReceiveParts receives the parts that a node has lent.
	ReceiveParts(lender *Peer, reply *PartReply)
	// RenewLease renews a lease of another node in the store and reports whether that succeeded.
	RenewLease(lease uint64) bool
}

// CreditRequest requests credit for several accounts of the issuer and returns unused credit.
type CreditRequest struct {
	_       struct{}      `cbor:",toarray"`
	Sent    time.Duration // time of the request on the clock of the entry node; the reply repeats it
	Wants   []CreditWant
	Returns []ReturnedCredit
}

// CreditWant is the credit requested for an account.
type CreditWant struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Want    int // for requests that wait
	Ahead   int // for requests that are expected soon
}

// ReturnedCredit is credit of an account that no request used.
type ReturnedCredit struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Epoch   uint64
	Time    time.Duration // time of the grant on the clock of the issuer
	Count   int
}

// CreditGrant is the reply to a CreditRequest with wants.
type CreditGrant struct {
	_        struct{} `cbor:",toarray"`
	Sent     time.Duration
	Accounts []AccountCredit
}

// AccountCredit is the reply for an account.
type AccountCredit struct {
	_          struct{} `cbor:",toarray"`
	Account    string
	Issued     bool          // whether the node is the issuer of the account; otherwise nothing else is set
	Epoch      uint64        // period in which the issuer holds the shard of the account
	Time       time.Duration // time of the grant on the clock of the issuer
	Asked      int           // number of credits in the request, for both purposes
	Count      int           // number of credits granted
	Wait       time.Duration // if less than wanted: time until the next credit is available
	RetryAfter time.Duration // if less than wanted: time until clients that were refused may return
}

// PartRequest asks a node to lend the issuer its parts of the rates of client accounts. While a part is lent, the
// node admits the requests of these accounts only by credit of the issuer.
type PartRequest struct {
	_      struct{}      `cbor:",toarray"`
	Time   time.Duration // time of the request on the clock of the issuer; the loan counts from then
	Term   uint64        // Issuing.Changes of the issuer
	Shards uint64        // bit set of the shards that it holds
}

// PartReply is the reply to a PartRequest.
type PartReply struct {
	_      struct{} `cbor:",toarray"`
	Time   time.Duration
	Term   uint64
	Shards uint64 // bit set of the shards whose parts are lent
	Nodes  int    // number of nodes that the lender knows of, among which the rates are divided
}

// Issuing is the part of a node's state that concerns the issuing of credit.
type Issuing struct {
	_       struct{} `cbor:",toarray"`
	Shards  uint64   // bit set of the shards of client accounts whose issuer the node is
	NoMore  bool     // whether the node takes no shards, since it is stopping
	Changes uint64   // number of changes so far, since states may arrive out of order; see PartRequest.Term
}

// issuingProcess is what a process of a node has announced about the issuing of credit.
type issuingProcess struct {
	started int64
	Issuing
}

// recordIssuing stores what a peer announces about the issuing of credit. It does not depend on the link
// on which the state arrives, since only one of several links to a node is in use.
func (l *Link) recordIssuing(state *State) {
	h := l.hub
	if h.Credits == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	known, ok := h.issuing[l.Peer.Node]
	switch {
	case !ok && state.Issuing == Issuing{}:
		return
	case ok && known.started == l.Peer.Started && known.Changes > state.Issuing.Changes:
		return // overtaken by a later state
	}
	if h.issuing == nil {
		h.issuing = make(map[string]issuingProcess)
	}
	h.issuing[l.Peer.Node] = issuingProcess{started: l.Peer.Started, Issuing: state.Issuing}
}

// Issuing returns what the process of a linked peer has announced about the issuing of credit.
func (h *Hub) Issuing(peer *Peer) Issuing {
	h.mu.Lock()
	defer h.mu.Unlock()
	if known := h.issuing[peer.Node]; known.started == peer.Started {
		return known.Issuing
	}
	return Issuing{}
}

// sendIssuing sends the state on a new link if this node issues credit. It may have begun to do so after it
// has sent its hello.
func (l *Link) sendIssuing() {
	if l.hub.Credits != nil && l.server.State().Issuing != (Issuing{}) {
		l.SendState()
	}
}

// RequestCredit sends a request for credit without waiting for the reply.
func (l *Link) RequestCredit(request *CreditRequest) { l.sendOrClose(kindCreditRequest, request) }

// RequestParts asks the peer for its parts without waiting for the reply.
func (l *Link) RequestParts(request *PartRequest) { l.sendOrClose(kindPartRequest, request) }

// handleCredit handles the frames by which credit and parts are exchanged. They are ignored on a node without caps.
func (l *Link) handleCredit(frameKind kind, body []byte) error {
	if l.hub.Credits == nil {
		return nil
	}
	switch frameKind {
	case kindCreditGrant:
		var grant CreditGrant
		if err := decMode.Unmarshal(body, &grant); err != nil {
			return err
		}
		l.hub.Credits.ReceiveCredit(&grant)
		return nil
	case kindPartRequest:
		return l.lendParts(body)
	case kindPartReply:
		var reply PartReply
		if err := decMode.Unmarshal(body, &reply); err != nil {
			return err
		}
		l.hub.Credits.ReceiveParts(&l.Peer, &reply)
		return nil
	}
	var request CreditRequest
	if err := decMode.Unmarshal(body, &request); err != nil {
		return err
	}
	if grant := l.hub.Credits.GrantCredit(&request); grant != nil {
		l.sendOrClose(kindCreditGrant, grant)
	}
	return nil
}

// lendParts replies to a request of the peer for the parts of this node. The request shows what the peer issues, like a
// state does.
func (l *Link) lendParts(body []byte) error {
	var request PartRequest
	if err := decMode.Unmarshal(body, &request); err != nil {
		return err
	}
	l.recordIssuing(&State{Issuing: Issuing{Shards: request.Shards, Changes: request.Term}})
	if reply := l.hub.Credits.LendParts(&l.Peer, &request); reply != nil {
		l.sendOrClose(kindPartReply, reply)
	}
	return nil
}
