package platform

import "cobaltflow/internal/core"

// pendingCounts are the reasons for which a shutdown does not end the process yet.
type pendingCounts struct {
	lingering         int // connections whose write side is closed; the peer's close is missing
	awaitingRequest   int // new connections whose first request may be on its way
	closing           int // other clients' connections, also those whose answer or refusal is being written
	callbacks         int // workers' connections with a callback that is unread or unanswered
	requests          int // open in the core
	workerConnections int // in use for an attempt
	unregistered      int // connections that are being accepted, or accepted and not registered on the loop yet
}

func (p pendingCounts) total() int {
	return p.lingering + p.awaitingRequest + p.closing + p.callbacks + p.requests + p.workerConnections + p.unregistered
}

// logShutdownStep logs a step of the shutdown with its time after SIGTERM and what is pending.
func (f *Front) logShutdownStep(step string, p pendingCounts) {
	f.log.Info("shutdown step", "step", step, "after_ms", (f.loop.Now()-f.stoppingSince)/core.Millisecond, "connections", f.clients.Len(),
		"lingering", p.lingering, "awaiting_request", p.awaitingRequest, "closing", p.closing, "callbacks", p.callbacks, "requests", p.requests,
		"worker_connections", p.workerConnections, "unregistered", p.unregistered)
}
