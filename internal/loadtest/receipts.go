package loadtest

import (
	"strings"
	"sync"
	"time"

	"onyxstream/internal/fakeserver"
)

// maxReceipts bounds how many receipts are kept.
const maxReceipts = 1 << 20

// receipts are the receipts that clients got by connection id. They are verified against the hosts' events.
type receipts struct {
	mu   sync.Mutex
	byID map[string]string
}

func (r *receipts) add(id, receipt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.byID) < maxReceipts {
		r.byID[id] = receipt
	}
}

// countWrong counts the receipts that no host issued for their connection.
func (r *receipts) countWrong(events []fakeserver.Record) (n int64) {
	issued := map[string]bool{}
	for _, event := range events {
		if event.What == fakeserver.Up {
			issued[event.ID+" "+event.Note] = true
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, receipt := range r.byID {
		if !issued[id+" "+receipt] {
			n++
		}
	}
	return n
}

// hostPrefix starts the names of hosts in events.
const hostPrefix = "h"

// addEvents adds the faults and the changes of nodes' health since began, and the hosts' numbers of events.
func (r *Result) addEvents(events []fakeserver.Record, began time.Duration) {
	indexes := map[string]int{}
	for _, event := range events {
		switch {
		case event.What == fakeserver.Fault || event.What == fakeserver.In || event.What == fakeserver.Out:
			if event.At >= began {
				r.FleetEvents = append(r.FleetEvents, FleetEvent{
					At:          (event.At - began).Seconds(),
					Subject:     event.Who,
					Description: describe(event),
				})
			}
		case strings.HasPrefix(event.Who, hostPrefix):
			i, ok := indexes[event.Who]
			if !ok {
				i = len(r.Hosts)
				indexes[event.Who] = i
				r.Hosts = append(r.Hosts, HostCount{ID: event.Who, Records: map[string]int64{}})
			}
			r.Hosts[i].Records[event.What]++
		}
	}
}

func describe(event fakeserver.Record) string {
	switch event.What {
	case fakeserver.In:
		return strings.TrimSpace(event.Note + " is dealt clients")
	case fakeserver.Out:
		return strings.TrimSpace(event.Note + " is dealt none")
	}
	return strings.TrimSpace(event.Note)
}
