package direct

import (
	"context"
	"errors"

	"skylarklead/internal/fleet"
)

// errLeaseLost means that the lease ended between a decision and its order.
var errLeaseLost = errors.New("direct: lease for orders lost")

// sendOrder sends an order if the lease is still held immediately before.
func (r *rollouts) sendOrder(ctx context.Context, model string, o fleet.Order) {
	e := r.entry
	began := e.clock.now()
	reply, notice, err := fleet.ReplyNotSent, fleet.Notice{}, errLeaseLost
	if r.beginOrder(o.Fence) {
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		reply, notice, err = e.platform.Replicas.Order(callCtx, &o)
		cancel()
		r.endOrder(ctx)
	}
	e.applyNotice(o.Replica.ID, &notice, began, false)
	now := e.clock.now()
	attrs := []any{"replica", o.Replica.ID, "model", model, "version", o.Version, "fence", o.Fence,
		"expected", o.ExpectedOrders, "reply", reply.String(), "took_ms", ms(now - began)}
	if err != nil {
		attrs = append(attrs, "error", err)
	}
	e.tel.Log.Info("order", attrs...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyActions(ctx, model, r.cores[model].OrderReplied(o.Replica.ID, reply, now))
	if reply == fleet.ReplyFenced {
		r.foreignOrderAt, r.refusedFence = now, max(r.refusedFence, o.Fence)
	}
	r.trigger()
}

// beginOrder reports whether an order may be sent under a fencing number now. If so, the lease isn't
// returned until endOrder.
func (r *rollouts) beginOrder(fence uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leases.Begin(orderLease, fence, bootTime())
}

// endOrder ends what beginOrder began: the order was answered or abandoned, and can't arrive any more.
func (r *rollouts) endOrder(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyLeaseActions(ctx, r.leases.End(orderLease, bootTime()))
}

// requestReport asks a replica for its state on behalf of a model's rollout.
func (r *rollouts) requestReport(ctx context.Context, model string, replica *fleet.Replica) {
	e := r.entry
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	sent := e.clock.now()
	report, notice, err := e.platform.Replicas.Report(callCtx, replica)
	cancel()
	notice.Leaving = notice.Leaving || report.Draining
	e.applyNotice(replica.ID, &notice, sent, false)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		e.tel.Log.Warn("replica report failed", "replica", replica.ID, "error", err)
		r.applyActions(ctx, model, r.cores[model].QueryFailed(replica.ID, e.clock.now()))
		return
	}
	if !replica.Matches(report.StartedAtMs) {
		e.handleRestarted(replica, report.StartedAtMs)
		r.applyActions(ctx, model, r.cores[model].QueryFailed(replica.ID, e.clock.now()))
		return
	}
	r.applyActions(ctx, model, r.cores[model].StateReported(replica.ID, &report, e.clock.now()))
}
