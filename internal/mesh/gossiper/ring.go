package gossiper

import (
	"math/bits"
	"slices"

	"clementinerock/internal/mesh/messenger"
)

// ring holds the keys of the present members of one failure domain in ascending order,
// and is traversed as a circle.
//
// The ring also defines a tree. Each member has a level, and each level has a quarter of
// the members of the one below. The parent of a member is the next member clockwise of a
// higher level. The tree has logarithmic depth, and a member that joins or dies changes
// the parents of only a few members next to it.
type ring struct {
	keys []messenger.Key
}

const levelBits = 2 // trailing zero bits of the key per level

// level returns the tree level of a key, which follows from the key alone.
func level(key messenger.Key) int { return bits.TrailingZeros64(uint64(key)) / levelBits }

func (r *ring) find(key messenger.Key) (int, bool) { return slices.BinarySearch(r.keys, key) }

func (r *ring) insert(key messenger.Key) {
	i, found := r.find(key)
	if !found {
		r.keys = slices.Insert(r.keys, i, key)
	}
}

func (r *ring) remove(key messenger.Key) {
	i, found := r.find(key)
	if found {
		r.keys = slices.Delete(r.keys, i, i+1)
	}
}

// clockwise calls visit for the other members in ascending order from key, around the
// ring, until visit returns false.
func (r *ring) clockwise(key messenger.Key, visit func(messenger.Key) bool) {
	start, found := r.find(key)
	if found {
		start++
	}
	for i := range r.keys {
		next := r.keys[(start+i)%len(r.keys)]
		if next == key || !visit(next) {
			return
		}
	}
}

// counterclockwise calls visit for the other members in descending order from key, around
// the ring, until visit returns false.
func (r *ring) counterclockwise(key messenger.Key, visit func(messenger.Key) bool) {
	start, _ := r.find(key)
	size := len(r.keys)
	for i := 1; i <= size; i++ {
		next := r.keys[(start-i+2*size)%size]
		if next == key || !visit(next) {
			return
		}
	}
}

// leader returns the usable member that outranks all others. It is the root of the tree.
func (r *ring) leader(usable func(messenger.Key) bool) (messenger.Key, bool) {
	var best messenger.Key
	found := false
	for _, key := range r.keys {
		if !usable(key) {
			continue
		}
		if !found || outranks(key, best) {
			best = key
			found = true
		}
	}
	return best, found
}

// outranks reports whether a has the higher level, or the higher key on the same level.
func outranks(a, b messenger.Key) bool {
	if level(a) != level(b) {
		return level(a) > level(b)
	}
	return a > b
}

// parent returns the parent of key in the tree of usable members. Members without a higher
// level clockwise have the leader as their parent; the leader has none.
func (r *ring) parent(key messenger.Key, usable func(messenger.Key) bool) (messenger.Key, bool) {
	var parent messenger.Key
	found := false
	r.clockwise(key, func(next messenger.Key) bool {
		if usable(next) && level(next) > level(key) {
			parent = next
			found = true
		}
		return !found
	})
	if found {
		return parent, true
	}
	leader, ok := r.leader(usable)
	return leader, ok && leader != key
}

// children returns the usable members whose parent is key.
func (r *ring) children(key messenger.Key, usable func(messenger.Key) bool) []messenger.Key {
	var children []messenger.Key
	highest := -1
	leader, ok := r.leader(usable)
	isRoot := ok && leader == key
	r.counterclockwise(key, func(next messenger.Key) bool {
		if !usable(next) {
			return true
		}
		if level(next) >= level(key) && !isRoot {
			return false
		}
		if level(next) >= highest {
			children = append(children, next)
			highest = level(next)
		}
		return true
	})
	return children
}
