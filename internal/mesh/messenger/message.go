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

// Health is the state of a host as determined by its peers. A higher value replaces a lower
// one of the same incarnation.
type Health uint8

// Values of Health.
const (
	Alive   Health = iota
	Suspect        // does not respond; stays a member, but receives no calls
	Dead           // confirmed by a host of its failure domain, or lost with the domain for long
	Left           // shut down gracefully
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

// TargetState is the state that a target announced for itself.
type TargetState string

// States of a target.
const (
	Warming  TargetState = "warming"
	Serving  TargetState = "serving"
	Draining TargetState = "draining"
)

// Target is one instance of a service on a node's host.
type Target struct {
	Service string      `cbor:"1,keyasint" json:"service"`
	Address string      `cbor:"2,keyasint" json:"address"`
	Slots   int         `cbor:"3,keyasint" json:"slots"`
	State   TargetState `cbor:"4,keyasint" json:"state"`
	Since   int64       `cbor:"5,keyasint" json:"sinceUnixMs"` // time at which it entered State
}

// Host is the part of a node's record that does not change while the node runs.
type Host struct {
	Name          string `cbor:"1,keyasint" json:"name"`
	FailureDomain string `cbor:"2,keyasint" json:"zone"`
	Region        string `cbor:"3,keyasint" json:"region"`
	Control       string `cbor:"4,keyasint" json:"control"` // UDP address for links
	Peer          string `cbor:"5,keyasint" json:"peer"`    // TCP address for calls from other nodes
}

// Stamp orders the states of one host. A restarted node has a higher incarnation, and a node
// raises its incarnation to refute a wrong health. Sequence counts changes of the record.
type Stamp struct {
	Incarnation uint64 `cbor:"1,keyasint" json:"incarnation"`
	Sequence    uint32 `cbor:"2,keyasint,omitempty" json:"sequence"`
	Health      Health `cbor:"3,keyasint,omitempty" json:"health"`
}

// Record is a host with its targets. Only the host's own node raises the sequence.
type Record struct {
	Host    Host     `cbor:"1,keyasint"`
	Stamp   Stamp    `cbor:"2,keyasint"`
	Targets []Target `cbor:"3,keyasint,omitempty"`
}

// Rumor is a change of a host's health without the record.
type Rumor struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Health      Health `cbor:"3,keyasint"`
}

// Key identifies a host by the hash of its name.
type Key uint64

// KeyOf returns the key of a host's name.
func KeyOf(name string) Key { return Key(xxh3.HashString(name)) }

// KeyStamp is the key of a host and the stamp that the sender stores for it.
type KeyStamp struct {
	Key   Key   `cbor:"1,keyasint"`
	Stamp Stamp `cbor:"2,keyasint"`
}

// Sum returns the hash of the pair for digests.
func (s KeyStamp) Sum() uint64 {
	var buf [21]byte
	binary.LittleEndian.PutUint64(buf[0:], uint64(s.Key))
	binary.LittleEndian.PutUint64(buf[8:], s.Stamp.Incarnation)
	binary.LittleEndian.PutUint32(buf[16:], s.Stamp.Sequence)
	buf[20] = byte(s.Stamp.Health)
	return xxh3.Hash(buf[:])
}

// Digest summarizes a membership table. Buckets is nil in the first message of an exchange.
type Digest struct {
	Root    uint64   `cbor:"1,keyasint"`
	Buckets []uint32 `cbor:"2,keyasint,omitempty"`
}

// Sync lists the stamps that the sender stores in some buckets and requests newer records.
type Sync struct {
	Buckets   []int      `cbor:"1,keyasint"`
	KeyStamps []KeyStamp `cbor:"2,keyasint,omitempty"`
}

// Ping requests a pong, which is a Ping with Pong set. Both carry the version that the sender
// has in force and the hash of its domain reports.
type Ping struct {
	Pong        bool   `cbor:"1,keyasint,omitempty"`
	Version     uint64 `cbor:"2,keyasint,omitempty"`
	ReportsHash uint32 `cbor:"3,keyasint,omitempty"`
}

// ProbeRequest asks a peer to probe a host for the sender.
type ProbeRequest struct {
	Host Host `cbor:"1,keyasint"`
}

// ProbeReply answers a ProbeRequest.
type ProbeReply struct {
	Name  string `cbor:"1,keyasint"`
	Alive bool   `cbor:"2,keyasint"`
}

// Fetch requests one page of a version, as the difference from the version with BaseRoot that
// the sender has. Version 0 stands for the newest one.
type Fetch struct {
	Version  uint64       `cbor:"1,keyasint,omitempty"`
	BaseRoot indexer.Hash `cbor:"2,keyasint"`
	After    string       `cbor:"3,keyasint,omitempty"` // last name of the previous page
}

// DiffPage is one page of the difference between two versions, in the order of names.
type DiffPage struct {
	Head     approver.Head `cbor:"1,keyasint"`
	BaseRoot indexer.Hash  `cbor:"2,keyasint"` // root of the version to apply the difference to
	Delta    indexer.Delta `cbor:"3,keyasint"`
	After    string        `cbor:"4,keyasint,omitempty"` // last name of this page; empty on the last page
	Gone     bool          `cbor:"5,keyasint,omitempty"` // the sender does not have the version
}

// Laggard is a host that does not have the reported version in force.
type Laggard struct {
	Name   string `cbor:"1,keyasint" json:"name"`
	Reason string `cbor:"2,keyasint" json:"reason"`
}

// Report counts the hosts of a subtree that have a version in force.
type Report struct {
	Version  uint64    `cbor:"1,keyasint"`
	InForce  int       `cbor:"2,keyasint"`
	Laggards []Laggard `cbor:"3,keyasint,omitempty"`
}

// DomainReport is the report of a whole failure domain, made by the node that leads it. A node
// of another failure domain that reaches no host there repeats the last report with Lost set;
// the next report of the leader clears Lost.
type DomainReport struct {
	FailureDomain string    `cbor:"1,keyasint" json:"zone"`
	Sequence      uint64    `cbor:"2,keyasint" json:"sequence"`
	Version       uint64    `cbor:"3,keyasint" json:"version"`
	InForce       int       `cbor:"4,keyasint" json:"inForce"`
	Laggards      []Laggard `cbor:"5,keyasint,omitempty" json:"laggards"`
	Lost          bool      `cbor:"6,keyasint,omitempty" json:"lost"`
}

// Newer reports whether r replaces other. Of two reports with one sequence, the one with Lost
// set is newer.
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

// Message is one message between nodes. All fields are optional.
type Message struct {
	Version       uint64         `cbor:"1,keyasint,omitempty"` // version that the sender has in force
	Records       []Record       `cbor:"2,keyasint,omitempty"`
	Rumors        []Rumor        `cbor:"3,keyasint,omitempty"`
	Have          []KeyStamp     `cbor:"4,keyasint,omitempty"` // records offered, not sent
	Want          []Key          `cbor:"5,keyasint,omitempty"` // records requested; turns the link eager
	Prune         bool           `cbor:"6,keyasint,omitempty"` // turns the link lazy
	Digest        *Digest        `cbor:"7,keyasint,omitempty"`
	Sync          *Sync          `cbor:"8,keyasint,omitempty"`
	Busy          bool           `cbor:"9,keyasint,omitempty"` // a request was rejected; retry later
	Ping          *Ping          `cbor:"10,keyasint,omitempty"`
	Probe         *ProbeRequest  `cbor:"11,keyasint,omitempty"`
	Probed        *ProbeReply    `cbor:"12,keyasint,omitempty"`
	Fetch         *Fetch         `cbor:"13,keyasint,omitempty"`
	DiffPage      *DiffPage      `cbor:"14,keyasint,omitempty"`
	Report        *Report        `cbor:"15,keyasint,omitempty"`
	DomainReports []DomainReport `cbor:"16,keyasint,omitempty"`
	IsAnswer      bool           `cbor:"17,keyasint,omitempty"` // answers a Sync or Want, or opens a link
	Hello         *Hello         `cbor:"19,keyasint,omitempty"`
	Overload      bool           `cbor:"18,keyasint,omitempty"` // too many links; dial another host
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
