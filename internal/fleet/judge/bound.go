package judge

import (
	"container/heap"
	"slices"
)

// plan works out in virtual time what one planner that sees all would earn with the same requests on the same workers:
// it knows each running time, has one queue for all sites, no way to go, and loses no job when a worker goes. Each free
// slot takes the job of the most worth for its time among those that still make their aim, then among the late ones.
// It can do nothing for a request before a scheduler could be reached. No scheduler can do better by much; the plan is
// not the best there is, since that would take a search.
func (b *Analysis) computeBound() {
	room := b.capacityOverTime()
	if len(room) == 0 {
		return
	}
	order := make([]int, 0, len(b.Requests))
	for i := range b.Requests {
		if b.Requests[i].AcceptedUS >= 0 {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(x, y int) int { return int(b.Requests[x].AcceptedUS - b.Requests[y].AcceptedUS) })
	queue := &requestHeap{analysis: b}
	var busy endTimes
	now, next := int64(0), 0
	for moment := 0; moment < len(room); {
		// The next thing that happens: a request, an end, or another look at how much room there is.
		at := room[moment].at
		if next < len(order) {
			at = min(at, b.Requests[order[next]].AcceptedUS)
		}
		if len(busy) > 0 {
			at = min(at, busy[0])
		}
		now = max(now, at)
		for len(busy) > 0 && busy[0] <= now {
			heap.Pop(&busy)
		}
		for ; next < len(order) && b.Requests[order[next]].AcceptedUS <= now; next++ {
			heap.Push(queue, order[next])
		}
		for moment < len(room) && room[moment].at <= now {
			moment++
		}
		slots := room[max(0, moment-1)].slots
		for _, i := range b.assignSlots(now, slots, queue, &busy) {
			heap.Push(queue, i)
		}
		if next == len(order) && queue.Len() == 0 && len(busy) == 0 {
			break
		}
	}
}

// fill gives free slots their jobs at a moment of the plan, and returns the requests that are late and still wait.
func (b *Analysis) assignSlots(now int64, slots float64, queue *requestHeap, busy *endTimes) (late []int) {
	speed := b.scenario.MeanSpeed()
	takes := func(i int) int64 { return int64(float64(b.Requests[i].RunUS) / speed) }
	for float64(len(*busy))+0.5 <= slots && (queue.Len() > 0 || len(late) > 0) {
		if queue.Len() == 0 {
			i := late[len(late)-1]
			late = late[:len(late)-1]
			a := &b.Requests[i]
			c := &b.scenario.Classes[a.Class]
			if now+takes(i) <= a.DueUS+int64(c.DeadlineS*1e6) {
				a.BoundValue = c.Worth * c.LateWorth
				heap.Push(busy, now+takes(i))
			}
			continue
		}
		i := heap.Pop(queue).(int)
		a := &b.Requests[i]
		if now+takes(i) > a.DueUS+latencyTargetUS(&b.scenario.Classes[a.Class], a.RunUS) {
			late = append(late, i)
			continue
		}
		a.BoundValue = a.MaxValue
		heap.Push(busy, now+takes(i))
	}
	return late
}

type capacity struct {
	at    int64
	slots float64
}

// room is how many slots all workers together could use, over time.
func (b *Analysis) capacityOverTime() (out []capacity) {
	for i := range b.samples {
		s := &b.samples[i]
		if len(out) == 0 || out[len(out)-1].at != s.AtUS {
			out = append(out, capacity{at: s.AtUS})
		}
		out[len(out)-1].slots += float64(s.UsableSlots)
	}
	return out
}

// ends is a heap of times.
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

// waiting is a heap of requests, the one of the most worth for its time first.
type requestHeap struct {
	analysis *Analysis
	requests []int
}

func (w *requestHeap) valuePerTime(i int) float64 {
	a := &w.analysis.Requests[i]
	return a.MaxValue / float64(max(1, a.RunUS))
}
func (w *requestHeap) Len() int { return len(w.requests) }
func (w *requestHeap) Less(i, j int) bool {
	return w.valuePerTime(w.requests[i]) > w.valuePerTime(w.requests[j])
}
func (w *requestHeap) Swap(i, j int) { w.requests[i], w.requests[j] = w.requests[j], w.requests[i] }
func (w *requestHeap) Push(x any)    { w.requests = append(w.requests, x.(int)) }
func (w *requestHeap) Pop() any {
	x := w.requests[len(w.requests)-1]
	w.requests = w.requests[:len(w.requests)-1]
	return x
}
