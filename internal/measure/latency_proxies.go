package measure

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"skylarklead/internal/faultproxy"
	"skylarklead/internal/platform"
)

// latencyProxies emulates the latency between failure domains. It serves each
// domain its own instance list, in which the addresses of instances of other
// domains are those of proxies that delay all traffic by the one-way latency.
type latencyProxies struct {
	delay   time.Duration
	listURL string

	mu      sync.Mutex
	proxies map[string]*faultproxy.Proxy // by address
	servers []*http.Server
}

func newLatencyProxies(listURL string, delay time.Duration) *latencyProxies {
	return &latencyProxies{delay: delay, listURL: listURL, proxies: map[string]*faultproxy.Proxy{}}
}

// serveView serves the instance list as seen from domain and returns its base URL.
func (c *latencyProxies) serveView(domain string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { c.serveList(w, domain) }),
		ReadHeaderTimeout: httpTimeout,
	}
	go server.Serve(l)
	c.mu.Lock()
	c.servers = append(c.servers, server)
	c.mu.Unlock()
	return "http://" + l.Addr().String(), nil
}

func (c *latencyProxies) serveList(w http.ResponseWriter, domain string) {
	var list platform.InstanceList
	if err := getJSON(c.listURL+"/v1/instances", &list); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	for i := range list.Instances {
		instance := &list.Instances[i]
		if instance.FailureDomain == domain {
			continue
		}
		p, err := c.proxy(instance.Address)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		instance.Address = p.Address()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list) // fails only if the reader has disconnected
}

// proxy returns the delaying proxy for address, and starts it at the first call.
func (c *latencyProxies) proxy(address string) (*faultproxy.Proxy, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.proxies[address]; p != nil {
		return p, nil
	}
	p, err := faultproxy.Listen("127.0.0.1:0", address)
	if err != nil {
		return nil, err
	}
	p.Delay(faultproxy.Upstream, c.delay)
	p.Delay(faultproxy.Downstream, c.delay)
	c.proxies[address] = p
	return p, nil
}

func (c *latencyProxies) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.servers {
		s.Close()
	}
	for _, p := range c.proxies {
		p.Close()
	}
}
