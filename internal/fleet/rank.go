package fleet

import "time"

// queueTargetKey identifies the routes of one priority to a service.
type queueTargetKey struct {
	service  string
	priority int
}

func (c *Configuration) indexPriorities() {
	c.routePriorities = 1
	c.queueTargets = make(map[queueTargetKey]time.Duration)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.routePriorities = max(c.routePriorities, r.Priority+1)
		for _, t := range r.Targets {
			c.lowerQueueTarget(queueTargetKey{t.Service, r.Priority}, r.LatencyTarget)
		}
	}
	for key, target := range c.queueTargets {
		for other := range c.queueTargets {
			if other.service == key.service && other.priority > key.priority {
				c.lowerQueueTarget(other, target)
			}
		}
	}
}

// lowerQueueTarget sets a queue target to a latency target if that is shorter; 0 is no target. The
// key is added in any case: a route without a target is bounded by those of better priorities.
func (c *Configuration) lowerQueueTarget(key queueTargetKey, target time.Duration) {
	current := c.queueTargets[key]
	if target > 0 && (current == 0 || target < current) {
		current = target
	}
	c.queueTargets[key] = current
}

// QueueTarget is the latency target that bounds how much may wait at a replica of a service because
// of a route's requests: the shortest one of the routes to the service whose priority is the same or
// better, 0 if none has one. Replicas serve what they hold in the order of arrival: filled up to the
// route's own target, none could serve the others in time.
func (c *Configuration) QueueTarget(r *Route, service string) time.Duration {
	return c.queueTargets[queueTargetKey{service, r.Priority}]
}

// Rank orders requests that wait for the same replicas, 0 first: by their organisation's priority, and
// for one priority by their route's. An organisation without one leaves its rank to the route.
func (c *Configuration) Rank(o *Organisation, r *Route) int {
	if o == nil || o.Priority == nil {
		return r.Priority
	}
	return *o.Priority*c.routePriorities + r.Priority
}
