package runner

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"clementinerock/internal/mesh/reader"
)

// seek dials unknown peers: those in the settings and, if none of them answers,
// those that the store names.
func (n *Node) seek() {
	if !n.seeking.CompareAndSwap(false, true) {
		return
	}
	n.tasks.Go(func() {
		defer n.seeking.Store(false)
		dialed := n.dialUnknown(n.peers)
		if dialed > 0 && !sleepOrDone(n.ctx, seekTimeout) {
			return
		}
		if dialed == 0 || !n.linked() {
			n.seekStore()
		}
	})
}

func (n *Node) linked() bool {
	linked := false
	n.ask(func(c *control) { linked = c.core.LinkCount() > 0 })
	return linked
}

// dialUnknown dials a few of the addresses that no known machine has.
func (n *Node) dialUnknown(addresses []string) int {
	var unknown []string
	n.ask(func(c *control) {
		for _, address := range addresses {
			if !c.core.HasControlAddress(address) {
				unknown = append(unknown, address)
			}
		}
	})
	rand.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	unknown = unknown[:min(len(unknown), seedDials)]
	for _, address := range unknown {
		n.links.DialAddress(address)
	}
	return len(unknown)
}

func (n *Node) seekStore() {
	ctx, cancel := context.WithTimeout(n.ctx, seekTimeout)
	defer cancel()
	addresses, err := reader.Seeds(ctx, n.store, n.machine.Name)
	if err != nil {
		n.log.Warn("control: seeds not read", zap.String("error", err.Error()))
		return
	}
	n.dialUnknown(addresses)
}

const seedDials = 3 // seeds dialed at once

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
