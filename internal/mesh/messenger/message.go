// Package messenger defines the typed messages that nodes exchange over their
// links and their CBOR encoding.
package messenger

import (
	"encoding/binary"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"

	"clementinerock/internal/config/approver"
	"clementinerock/internal/config/indexer"
)

// MaxMessageBytes bounds the size of one encoded message.
const MaxMessageBytes = 1 << 20

// Health is the state of a machine as its peers see it. A higher value replaces a
// lower one of the same incarnation.
type Health uint8

// Health of a machine.
const (
	Alive   Health = iota
	Suspect        // does not answer; kept, but gets no calls
	Dead           // confirmed by a machine of its own zone
	Left           // stopped as planned
)

// String returns the name of the health.
func (h Health) String() string {
	switch h {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	}
	return "invalid"
}

// TargetState is what a target announced about itself.
type TargetState string

// States of a target.
const (
	Warming  TargetState = "warming"
	Serving  TargetState = "serving"
	Draining TargetState = "draining"
)

// Target is one upstream beside a node.
type Target struct {
	Service string      `cbor:"1,keyasint" json:"service"`
	Address string      `cbor:"2,keyasint" json:"address"`
	Slots   int         `cbor:"3,keyasint" json:"slots"`
	State   TargetState `cbor:"4,keyasint" json:"state"`
	Since   int64       `cbor:"5,keyasint" json:"sinceUnixMs"` // when it entered State
}

// Host is the fixed part of a node's record.
type Host struct {
	Name          string `cbor:"1,keyasint" json:"name"`
	FailureDomain string `cbor:"2,keyasint" json:"zone"`
	Region        string `cbor:"3,keyasint" json:"region"`
	Control       string `cbor:"4,keyasint" json:"control"` // UDP address of its links
	Peer          string `cbor:"5,keyasint" json:"peer"`    // TCP address for calls from nodes
}

// Stamp orders the statements about one machine.
type Stamp struct {
	Incarnation uint64 `cbor:"1,keyasint" json:"incarnation"`
	Sequence    uint32 `cbor:"2,keyasint,omitempty" json:"sequence"`
	Health      Health `cbor:"3,keyasint,omitempty" json:"health"`
}

// Record is a machine with its targets. Its owner alone raises the sequence.
type Record struct {
	Host    Host     `cbor:"1,keyasint"`
	Stamp   Stamp    `cbor:"2,keyasint"`
	Targets []Target `cbor:"3,keyasint,omitempty"`
}

// Rumor is a change of health without the record.
type Rumor struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Health      Health `cbor:"3,keyasint"`
}

// Key identifies a machine by the hash of its name.
type Key uint64

// KeyOf returns the key of a machine's name.
func KeyOf(name string) Key { return Key(xxh3.HashString(name)) }

// KeyStamp is the stamp that a node has for a key.
type KeyStamp struct {
	Key   Key   `cbor:"1,keyasint"`
	Stamp Stamp `cbor:"2,keyasint"`
}

// Sum returns a hash of the holding for digests.
func (h KeyStamp) Sum() uint64 {
	var buf [21]byte
	binary.LittleEndian.PutUint64(buf[0:], uint64(h.Key))
	binary.LittleEndian.PutUint64(buf[8:], h.Stamp.Incarnation)
	binary.LittleEndian.PutUint32(buf[16:], h.Stamp.Sequence)
	buf[20] = byte(h.Stamp.Health)
	return xxh3.Hash(buf[:])
}

// Digest summarizes a membership table. Buckets is nil in a first exchange.
type Digest struct {
	Root    uint64   `cbor:"1,keyasint"`
	Buckets []uint32 `cbor:"2,keyasint,omitempty"`
}

// Sync lists what the sender holds in some buckets and asks for what is newer.
type Sync struct {
	Buckets   []int      `cbor:"1,keyasint"`
	KeyStamps []KeyStamp `cbor:"2,keyasint,omitempty"`
}

// Ping asks for a Pong. Both name the version that the sender has in force and the
// hash of the zone reports that it knows.
type Ping struct {
	Pong        bool   `cbor:"1,keyasint,omitempty"`
	Version     uint64 `cbor:"2,keyasint,omitempty"`
	ReportsHash uint32 `cbor:"3,keyasint,omitempty"`
}

// ProbeRequest asks a peer to try a machine on the sender's behalf.
type ProbeRequest struct {
	Host Host `cbor:"1,keyasint"`
}

// ProbeReply answers a ProbeRequest.
type ProbeReply struct {
	Name  string `cbor:"1,keyasint"`
	Alive bool   `cbor:"2,keyasint"`
}

// Fetch asks for a version as a difference to the root that the sender has.
// Version 0 asks for the newest; After continues a difference in name order.
type Fetch struct {
	Version  uint64       `cbor:"1,keyasint,omitempty"`
	BaseRoot indexer.Hash `cbor:"2,keyasint"`
	After    string       `cbor:"3,keyasint,omitempty"`
}

// DiffPage is one page of a difference.
type DiffPage struct {
	Head     approver.Head `cbor:"1,keyasint"`
	BaseRoot indexer.Hash  `cbor:"2,keyasint"` // base that the difference applies to
	Delta    indexer.Delta `cbor:"3,keyasint"`
	After    string        `cbor:"4,keyasint,omitempty"` // where the next page starts; empty on the last
	Gone     bool          `cbor:"5,keyasint,omitempty"` // the sender no longer has the version
}

// Laggard is a machine that is not at the version reported.
type Laggard struct {
	Name   string `cbor:"1,keyasint" json:"name"`
	Reason string `cbor:"2,keyasint" json:"reason"`
}

// Report counts the machines of a subtree that have a version in force.
type Report struct {
	Version  uint64    `cbor:"1,keyasint"`
	InForce  int       `cbor:"2,keyasint"`
	Laggards []Laggard `cbor:"3,keyasint,omitempty"`
}

// DomainReport is the report of a whole zone, made by the machine that leads it. A
// machine of another zone that reaches nobody there repeats the last report as lost;
// the leader's next report clears that.
type DomainReport struct {
	FailureDomain string    `cbor:"1,keyasint" json:"zone"`
	Sequence      uint64    `cbor:"2,keyasint" json:"sequence"`
	Version       uint64    `cbor:"3,keyasint" json:"version"`
	InForce       int       `cbor:"4,keyasint" json:"inForce"`
	Laggards      []Laggard `cbor:"5,keyasint,omitempty" json:"laggards"`
	Lost          bool      `cbor:"6,keyasint,omitempty" json:"lost"`
}

// Newer reports whether r replaces other.
func (r *DomainReport) Newer(other *DomainReport) bool {
	if r.Sequence != other.Sequence {
		return r.Sequence > other.Sequence
	}
	return r.Lost && !other.Lost
}

// Hello is the first message in each direction on a new link.
type Hello struct {
	Host        Host   `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Message is what one node sends to another. Any part may be missing.
type Message struct {
	Version       uint64         `cbor:"1,keyasint,omitempty"` // newest version that the sender holds whole
	Records       []Record       `cbor:"2,keyasint,omitempty"`
	Rumors        []Rumor        `cbor:"3,keyasint,omitempty"`
	Have          []KeyStamp     `cbor:"4,keyasint,omitempty"` // offered, not sent
	Want          []Key          `cbor:"5,keyasint,omitempty"` // asked for; makes the link eager
	Prune         bool           `cbor:"6,keyasint,omitempty"` // makes the link lazy
	Digest        *Digest        `cbor:"7,keyasint,omitempty"`
	Sync          *Sync          `cbor:"8,keyasint,omitempty"`
	Busy          bool           `cbor:"9,keyasint,omitempty"` // a request was turned away; ask again later
	Ping          *Ping          `cbor:"10,keyasint,omitempty"`
	Probe         *ProbeRequest  `cbor:"11,keyasint,omitempty"`
	Probed        *ProbeReply    `cbor:"12,keyasint,omitempty"`
	Fetch         *Fetch         `cbor:"13,keyasint,omitempty"`
	DiffPage      *DiffPage      `cbor:"14,keyasint,omitempty"`
	Report        *Report        `cbor:"15,keyasint,omitempty"`
	DomainReports []DomainReport `cbor:"16,keyasint,omitempty"`
	IsAnswer      bool           `cbor:"17,keyasint,omitempty"` // records answer a Sync or Want
	Hello         *Hello         `cbor:"19,keyasint,omitempty"`
	Overload      bool           `cbor:"18,keyasint,omitempty"` // too many links; dial another
	Unneeded      bool           `cbor:"20,keyasint,omitempty"` // the sender does not need the link
}

// Encode returns the bytes of a message.
func (m *Message) Encode() ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, merry.Prepend(err, "encode message")
	}
	return data, nil
}

// Decode reads one message.
func Decode(data []byte) (Message, error) {
	var m Message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return m, merry.Prepend(err, "decode message")
	}
	return m, nil
}
