package runner

import "go.uber.org/zap"

// noteStoreEra handles a response of the store that shows that it was restored from an older copy. Unlike the
// other nodes, which may not call the store for some time, this one tells all.
func (n *Node) noteStoreEra(era uint64) {
	n.enqueue(func() {
		if n.beginEra(era) {
			n.hub.Announce()
		}
	})
}

// receiveStoreEra handles the era that a peer's state shows. A node that has not called the store yet has written
// nothing there that could be lost.
func (n *Node) receiveStoreEra(era uint64) {
	if own, answered := n.store.Era(); !answered || era <= max(own, n.storeEra.Load()) {
		return
	}
	n.enqueue(func() {
		if n.beginEra(era) {
			n.hub.AnnounceInDomain()
		}
	})
}

// beginEra makes this node write again what it owns in the store, unless it has done so in this era.
func (n *Node) beginEra(era uint64) bool {
	if era <= n.storeEra.Load() {
		return false
	}
	n.storeEra.Store(era)
	n.Log.Warn("store: restored from an older copy, writing again what this node owns", zap.Uint64("era", era))
	n.Meter.Add("store_era_changes", 1)
	n.retainer.EraChanged()
	n.finder.EraChanged(int(n.maxNodes.Load()))
	if n.releaser != nil {
		n.releaser.Reload()
	}
	if n.throttler != nil {
		n.throttler.Doubt()
	}
	return true
}

// currentStoreEra returns the highest era of the store that this node knows of.
func (n *Node) currentStoreEra() uint64 {
	era, _ := n.store.Era()
	return max(era, n.storeEra.Load())
}
