// Package dialer opens TCP connections that break if the other side becomes unresponsive.
package dialer

import (
	"net"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"
)

const (
	keepAliveIdle     = 2 * time.Second // idle time before the first probe
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// Dial connects to an address within a timeout. The connection breaks if sent data stays
// unacknowledged for longer than unackedTimeout.
func Dial(address string, timeout, unackedTimeout time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optionErr
		},
	}
	conn, err := d.Dial("tcp4", address)
	if err != nil {
		return nil, merry.Prependf(err, "dial %s", address)
	}
	return conn, nil
}
