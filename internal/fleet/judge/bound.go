package judge

import (
	"container/heap"
	"slices"
)

// computeBound simulates in virtual time an ideal planner with the same requests and workers, and sets BoundValue of each
// request to the value that this planner earns. The planner knows all running times, has one queue for all sites, no network
// delay, and loses no job when a worker fails. Each free slot gets the job with the most value per running time among those
// that can still meet their latency target, then among the late ones. A request is queued only when a scheduler has first
// been reached. No scheduler can do much better; the result is not optimal, as that would need a search.
func (a *Analysis) computeBound() {
	capacities := a.capacityOverTime()
	if len(capacities) == 0 {
		return
	}
	byAcceptance := make([]int, 0, len(a.Requests))
	for i := range a.Requests {
		if a.Requests[i].AcceptedUS >= 0 {
			byAcceptance = append(byAcceptance, i)
		}
	}
	slices.SortFunc(byAcceptance, func(x, y int) int { return int(a.Requests[x].AcceptedUS - a.Requests[y].AcceptedUS) })
	queue := &requestHeap{analysis: a}
	var running endTimes
	nowUS, nextRequest := int64(0), 0
	for nextCapacity := 0; nextCapacity < len(capacities); {
		// Advance to the next event: an arrival, the end of a job, or a capacity sample.
		eventUS := capacities[nextCapacity].at
		if nextRequest < len(byAcceptance) {
			eventUS = min(eventUS, a.Requests[byAcceptance[nextRequest]].AcceptedUS)
		}
		if len(running) > 0 {
			eventUS = min(eventUS, running[0])
		}
		nowUS = max(nowUS, eventUS)
		for len(running) > 0 && running[0] <= nowUS {
			heap.Pop(&running)
		}
		for ; nextRequest < len(byAcceptance) && a.Requests[byAcceptance[nextRequest]].AcceptedUS <= nowUS; nextRequest++ {
			heap.Push(queue, byAcceptance[nextRequest])
		}
		for nextCapacity < len(capacities) && capacities[nextCapacity].at <= nowUS {
			nextCapacity++
		}
		slots := capacities[max(0, nextCapacity-1)].slots
		for _, i := range a.assignSlots(nowUS, slots, queue, &running) {
			heap.Push(queue, i)
		}
		if nextRequest == len(byAcceptance) && queue.Len() == 0 && len(running) == 0 {
			break
		}
	}
}

// assignSlots starts jobs on the free slots at a time of the simulation, and returns the waiting requests that can no longer
// meet their latency targets.
func (a *Analysis) assignSlots(nowUS int64, slots float64, queue *requestHeap, running *endTimes) (late []int) {
	speed := a.scenario.MeanSpeed()
	runUS := func(i int) int64 { return int64(float64(a.Requests[i].RunUS) / speed) }
	for float64(len(*running))+0.5 <= slots && (queue.Len() > 0 || len(late) > 0) {
		if queue.Len() == 0 {
			i := late[len(late)-1]
			late = late[:len(late)-1]
			req := &a.Requests[i]
			class := &a.scenario.Classes[req.Class]
			if nowUS+runUS(i) <= req.DueUS+int64(class.DeadlineS*1e6) {
				req.BoundValue = class.Worth * class.LateWorth
				heap.Push(running, nowUS+runUS(i))
			}
			continue
		}
		i := heap.Pop(queue).(int)
		req := &a.Requests[i]
		if nowUS+runUS(i) > req.DueUS+latencyTargetUS(&a.scenario.Classes[req.Class], req.RunUS) {
			late = append(late, i)
			continue
		}
		req.BoundValue = req.MaxValue
		heap.Push(running, nowUS+runUS(i))
	}
	return late
}

// capacity is the number of usable slots of all workers at a time in microseconds.
type capacity struct {
	at    int64
	slots float64
}

// capacityOverTime returns the usable slots of all workers together, a value for each time of sampling.
func (a *Analysis) capacityOverTime() (list []capacity) {
	for i := range a.samples {
		s := &a.samples[i]
		if len(list) == 0 || list[len(list)-1].at != s.AtUS {
			list = append(list, capacity{at: s.AtUS})
		}
		list[len(list)-1].slots += float64(s.UsableSlots)
	}
	return list
}

// endTimes is a min-heap of times in microseconds.
type endTimes []int64

func (e endTimes) Len() int           { return len(e) }
func (e endTimes) Less(i, j int) bool { return e[i] < e[j] }
func (e endTimes) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endTimes) Push(x any)        { *e = append(*e, x.(int64)) }
func (e *endTimes) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// requestHeap is a heap of indexes into Analysis.Requests, the request with the most value per running time first.
type requestHeap struct {
	analysis *Analysis
	requests []int
}

// valuePerTime returns the value per microsecond of running time.
func (h *requestHeap) valuePerTime(i int) float64 {
	req := &h.analysis.Requests[i]
	return req.MaxValue / float64(max(1, req.RunUS))
}
func (h *requestHeap) Len() int { return len(h.requests) }
func (h *requestHeap) Less(i, j int) bool {
	return h.valuePerTime(h.requests[i]) > h.valuePerTime(h.requests[j])
}
func (h *requestHeap) Swap(i, j int) { h.requests[i], h.requests[j] = h.requests[j], h.requests[i] }
func (h *requestHeap) Push(x any)    { h.requests = append(h.requests, x.(int)) }
func (h *requestHeap) Pop() any {
	x := h.requests[len(h.requests)-1]
	h.requests = h.requests[:len(h.requests)-1]
	return x
}
