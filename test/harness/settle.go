package harness

import "skylarklead/internal/faultproxy"

var bothDirections = []faultproxy.Direction{faultproxy.Upstream, faultproxy.Downstream}

// ClearFaultsAndDrain ends all faults, resumes paused daemons, stops all daemons
// gracefully and waits until no connection to a back end is open. After it, the
// back ends' counts of runs are final.
func (c *Cluster) ClearFaultsAndDrain() {
	c.t.Helper()
	for _, n := range c.Nodes() {
		n.ClearFaults()
	}
	for _, n := range c.Nodes() {
		n.Terminate()
	}
	for _, n := range c.Nodes() {
		n.AwaitEnd()
	}
	for _, n := range c.Nodes() {
		if n.BackendProxy == nil {
			continue
		}
		Await(c.t, "the last connection to "+n.Backend.Name, func() bool { return n.BackendProxy.Connections() == 0 })
	}
}

// ClearFaults ends every fault around a daemon and resumes it if paused.
func (n *Node) ClearFaults() {
	n.Resume()
	for _, p := range []*faultproxy.Proxy{n.PlatformProxy, n.PeerProxy, n.BackendProxy} {
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
