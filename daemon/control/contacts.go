package control

import (
	"sync"
	"time"

	"cranberrydrum.dev/coord/reconfig"
	"cranberrydrum.dev/daemon/clock"
	"cranberrydrum.dev/daemon/transport"
)

// contacts holds the time of the last message of each host. It implements
// transport.Observer.
type contacts struct {
	mu sync.Mutex
	at map[string]time.Duration
}

// FrameReceived implements transport.Observer.
func (c *contacts) FrameReceived(host string, _ transport.Kind, _ int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at == nil {
		c.at = map[string]time.Duration{}
	}
	c.at[host] = clock.Boot()
}

// FrameSent implements transport.Observer.
func (c *contacts) FrameSent(string, transport.Kind, int) {}

// FrameDropped implements transport.Observer.
func (c *contacts) FrameDropped(string, transport.Kind, string) {}

// ConnectionClosed implements transport.Observer.
func (c *contacts) ConnectionClosed(string, string) {}

// report passes the contacts to a planner. A host that is up may have sent its last
// message a heartbeat interval ago.
func (c *contacts) report(p *reconfig.Planner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Boot()
	for host, at := range c.at {
		p.Contact(host, min(now, at+PeerHeartbeatInterval))
	}
}
