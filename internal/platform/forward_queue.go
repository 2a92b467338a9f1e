package platform

import (
	"slices"
)

const (
	// maxForwarding bounds the callbacks that are forwarded at a time.
	maxForwarding = 64
	// maxQueuedForwards bounds the callbacks that wait until one of those has ended. Half of the clients' budget bounds them
	// too, so that they never displace all clients: each holds a connection. A callback above the bound is refused.
	maxQueuedForwards = 256
)

// forwardQueue holds the callbacks that are forwarded and, in the order of their arrival, those that wait for that. With
// forwardTimeout and one more attempt for each, the last of a full queue waits for under 3 s.
type forwardQueue struct {
	// offer sends a message to an address until a process accepts it, and reports whether one did. It blocks, and is called
	// outside of the loop; offerCallback, save in tests.
	offer     func(address string, message []byte) bool
	active    int                 // callbacks that are forwarded
	waiting   []*forward          // not started
	byMessage map[string]*forward // started or waiting
}

// forward is one message for the scheduler's other processes. A worker that repeats a callback whose outcome is not known yet
// waits for the same outcome.
type forward struct {
	message   string
	isStarted bool
	held      []*heldCallback // to be answered with the outcome; may be empty once started
}

// forwardCallback offers a callback to the other processes of this scheduler. It is refused if none of them accepts it, or if
// too many wait. A callback with the same message as one that is forwarded or waits gets that one's outcome.
func (f *Front) forwardCallback(held *heldCallback) {
	queue := &f.forwards
	if same := queue.byMessage[held.message]; same != nil {
		same.held = append(same.held, held)
		return
	}
	next := &forward{message: held.message, held: []*heldCallback{held}}
	switch {
	case queue.active < maxForwarding:
		f.startForward(next)
	case len(queue.waiting) < min(maxQueuedForwards, f.budget.clients/2):
		queue.waiting = append(queue.waiting, next)
	default:
		f.refuseHeldCallback(held)
		return
	}
	queue.byMessage[next.message] = next
}

// startForward sends a message to the other processes.
func (f *Front) startForward(next *forward) {
	next.isStarted = true
	f.forwards.active++
	address, offer := f.Address(), f.forwards.offer
	go func() { // the call blocks, so it runs outside of the loop
		isAccepted := offer(address, []byte(next.message))
		f.loop.Post(func() { f.endForward(next, isAccepted) })
	}()
}

// endForward answers the callbacks of a message with its outcome, and starts the next one that waits.
func (f *Front) endForward(ended *forward, isAccepted bool) {
	queue := &f.forwards
	queue.active--
	delete(queue.byMessage, ended.message)
	if isAccepted {
		f.forwardedCallbacks++
	}
	for _, held := range ended.held {
		if isAccepted {
			f.acceptHeldCallback(held)
		} else {
			f.refuseHeldCallback(held)
		}
	}
	if len(queue.waiting) > 0 {
		next := queue.waiting[0]
		queue.waiting = queue.waiting[1:]
		f.startForward(next)
	}
}

// remove removes a callback whose connection has ended. Its message leaves the queue if it has not been started and no other
// connection waits for it. A callback that is not held here is ignored.
func (q *forwardQueue) remove(held *heldCallback) {
	from := q.byMessage[held.message]
	if from == nil {
		return
	}
	from.held = slices.DeleteFunc(from.held, func(other *heldCallback) bool { return other == held })
	if len(from.held) == 0 && !from.isStarted {
		delete(q.byMessage, from.message)
		q.waiting = slices.DeleteFunc(q.waiting, func(other *forward) bool { return other == from })
	}
}
