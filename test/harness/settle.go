package harness

import "skylarklead/internal/faultproxy"

var bothDirections = []faultproxy.Direction{faultproxy.Up, faultproxy.Down}

// Settle heals every proxy, lets stopped daemons go on, drains the fleet and
// waits until nothing is on its way to a back end any more. After it, a back
// end's count is final.
func (c *Cluster) Settle() {
	c.t.Helper()
	for _, n := range c.Nodes() {
		n.Heal()
	}
	for _, n := range c.Nodes() {
		n.Terminate()
	}
	for _, n := range c.Nodes() {
		n.AwaitEnd()
	}
	for _, n := range c.Nodes() {
		if n.Backend == nil {
			continue
		}
		Await(c.t, "the last connection to "+n.Engine.Name, func() bool { return n.Backend.Connections() == 0 })
	}
}

// Heal ends every fault around a daemon.
func (n *Node) Heal() {
	n.Continue()
	for _, p := range []*faultproxy.Proxy{n.Platform, n.Peer, n.Backend} {
		if p == nil {
			continue
		}
		p.Thaw()
		p.Refuse(false)
		for _, dir := range bothDirections {
			p.Drop(dir, false)
			p.Delay(dir, 0)
		}
	}
}
