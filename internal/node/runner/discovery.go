package runner

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"clementinerock/internal/mesh/reader"
)

// discover dials seed nodes that are not members yet: those in the settings and, if there are none
// or no link is open after discoveryTimeout, those listed in the store. Only one discovery runs at a
// time.
func (n *Node) discover() {
	if !n.discovering.CompareAndSwap(false, true) {
		return
	}
	n.tasks.Go(func() {
		defer n.discovering.Store(false)
		dialed := n.dialSeeds(n.peers)
		if dialed > 0 && !sleepOrDone(n.ctx, discoveryTimeout) {
			return
		}
		if dialed == 0 || !n.hasLink() {
			n.discoverFromStore()
		}
	})
}

// hasLink reports whether the node has a link to any other node.
func (n *Node) hasLink() bool {
	hasLink := false
	n.runInLoop(func(c *control) { hasLink = c.core.LinkCount() > 0 })
	return hasLink
}

// dialSeeds dials up to maxSeedDials of the addresses, chosen at random from those that no member
// has, and returns their number.
func (n *Node) dialSeeds(addresses []string) int {
	var unknown []string
	n.runInLoop(func(c *control) {
		for _, address := range addresses {
			if !c.core.HasControlAddress(address) {
				unknown = append(unknown, address)
			}
		}
	})
	rand.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	unknown = unknown[:min(len(unknown), maxSeedDials)]
	for _, address := range unknown {
		n.links.DialAddress(address)
	}
	return len(unknown)
}

// discoverFromStore dials the seed nodes that are listed in the store.
func (n *Node) discoverFromStore() {
	ctx, cancel := context.WithTimeout(n.ctx, discoveryTimeout)
	defer cancel()
	addresses, err := reader.Seeds(ctx, n.store, n.host.Name)
	if err != nil {
		n.log.Warn("control: could not read seeds from the store", zap.String("error", err.Error()))
		return
	}
	n.dialSeeds(addresses)
}

const maxSeedDials = 3 // seed nodes dialed at once

// sleepOrDone pauses and returns true, or returns false as soon as ctx is done.
func sleepOrDone(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
