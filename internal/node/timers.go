package node

import (
	"container/heap"
	"time"
)

// timers is the priority queue of the balancer's timers, earliest first.
type timers struct{ heap timerHeap }

type timer struct {
	at    time.Duration
	order uint64 // sequence number; timers with the same time expire in the order in which they were set
	token string
}

type timerHeap struct {
	all  []timer
	last uint64
}

func (h *timerHeap) Len() int { return len(h.all) }
func (h *timerHeap) Less(i, j int) bool {
	if h.all[i].at != h.all[j].at {
		return h.all[i].at < h.all[j].at
	}
	return h.all[i].order < h.all[j].order
}
func (h *timerHeap) Swap(i, j int) { h.all[i], h.all[j] = h.all[j], h.all[i] }
func (h *timerHeap) Push(x any)    { h.all = append(h.all, x.(timer)) }
func (h *timerHeap) Pop() any {
	last := h.all[len(h.all)-1]
	h.all = h.all[:len(h.all)-1]
	return last
}

// add sets a timer. When it is due, next returns its token.
func (t *timers) add(at time.Duration, token string) {
	t.heap.last++
	heap.Push(&t.heap, timer{at: at, order: t.heap.last, token: token})
}

// wait returns the time until the next timer is due, or idleWait if there is none.
func (t *timers) wait(now time.Duration) time.Duration {
	if t.heap.Len() == 0 {
		return idleWait
	}
	return max(t.heap.all[0].at-now, 0)
}

// next removes the earliest timer that is due and returns its token; due is false if there is none.
func (t *timers) next(now time.Duration) (token string, due bool) {
	if t.heap.Len() == 0 || t.heap.all[0].at > now {
		return "", false
	}
	return heap.Pop(&t.heap).(timer).token, true
}
