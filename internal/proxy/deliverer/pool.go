package deliverer

import (
	"time"

	"go.uber.org/zap"

	"clementinerock/internal/node/recorder"
	"clementinerock/internal/proxy/tracker"
)

// markUnreachable stops calls to a target that takes no connection, until one is made.
func (d *Deliverer) markUnreachable(err error) {
	now := time.Now()
	d.mu.Lock()
	alreadyUnreachable := now.Before(d.unreachableUntil)
	d.unreachableUntil = now.Add(connectTimeout + 2*reconnectInterval)
	d.updateSlots(now)
	target := d.target.ID
	d.mu.Unlock()
	if alreadyUnreachable {
		return // somebody else tries already
	}
	d.Log.Info("deliver: target unreachable", zap.String("target", target), recorder.Err(err))
	d.OnStateChange()
	time.AfterFunc(reconnectInterval, d.reconnect)
}

// reconnect tries to reach the target again.
func (d *Deliverer) reconnect() {
	d.mu.Lock()
	wanted := d.target.State == tracker.Serving && !d.stopping
	d.mu.Unlock()
	if !wanted {
		return
	}
	c, err := connect(d.Address)
	now := time.Now()
	d.mu.Lock()
	if err != nil {
		d.unreachableUntil = now.Add(connectTimeout + 2*reconnectInterval)
		d.mu.Unlock()
		time.AfterFunc(reconnectInterval, d.reconnect)
		return
	}
	d.unreachableUntil = time.Time{}
	d.updateSlots(now)
	target := d.target.ID
	d.mu.Unlock()
	d.putIdle(c, now)
	d.Log.Info("deliver: target reachable again", zap.String("target", target))
	d.OnStateChange()
}

// takeIdle returns an idle connection that is still usable, or nil.
func (d *Deliverer) takeIdle(now time.Time) *conn {
	for len(d.idle) > 0 {
		c := d.idle[len(d.idle)-1]
		d.idle = d.idle[:len(d.idle)-1]
		if c.usable(now) {
			return c
		}
		_ = c.Close() // too old, or closed by the target
	}
	return nil
}

// putIdle keeps an idle connection.
func (d *Deliverer) putIdle(c *conn, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.queue.Slots == 0 || len(d.idle) >= d.queue.Slots {
		_ = c.Close() // no use for it
		return
	}
	c.idle = now
	d.idle = append(d.idle, c)
}

func (d *Deliverer) closeIdle() {
	for _, c := range d.idle {
		_ = c.Close() // the target is leaving
	}
	d.idle = nil
}
