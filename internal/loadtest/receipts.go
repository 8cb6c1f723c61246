package loadtest

import (
	"strings"
	"sync"
	"time"

	"onyxstream/internal/fakeserver"
)

// maxReceipts is the maximum number of receipts that are kept. Later ones are not verified.
const maxReceipts = 1 << 20

// receipts holds the receipts that clients got, by connection id. A receipt is the text after "UP" in the answer of a fake
// host, which issues a unique one for each connection. Receipts are verified against the hosts' events.
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

// countWrong returns the number of receipts that no host issued for their connection.
func (r *receipts) countWrong(events []fakeserver.Event) (n int64) {
	issued := map[string]bool{}
	for _, event := range events {
		if event.Kind == fakeserver.EventEstablished {
			issued[event.ID+" "+event.Detail] = true
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

// hostPrefix is the prefix of host names in events.
const hostPrefix = "h"

// addEvents adds to the result the faults and node health changes since began, and the number of events of each host by
// kind.
func (r *Result) addEvents(events []fakeserver.Event, began time.Duration) {
	indexes := map[string]int{}
	for _, event := range events {
		switch {
		case event.Kind == fakeserver.EventFault || event.Kind == fakeserver.EventNodeHealthy || event.Kind == fakeserver.EventNodeUnhealthy:
			if event.At >= began {
				r.FleetEvents = append(r.FleetEvents, FleetEvent{
					At:          (event.At - began).Seconds(),
					Subject:     event.Source,
					Description: describe(event),
				})
			}
		case strings.HasPrefix(event.Source, hostPrefix):
			i, ok := indexes[event.Source]
			if !ok {
				i = len(r.Hosts)
				indexes[event.Source] = i
				r.Hosts = append(r.Hosts, HostCount{ID: event.Source, Records: map[string]int64{}})
			}
			r.Hosts[i].Records[event.Kind]++
		}
	}
}

// describe returns the description of a fleet event. Result files contain it, so its texts must not change.
func describe(event fakeserver.Event) string {
	switch event.Kind {
	case fakeserver.EventNodeHealthy:
		return strings.TrimSpace(event.Detail + " is dealt clients")
	case fakeserver.EventNodeUnhealthy:
		return strings.TrimSpace(event.Detail + " is dealt none")
	}
	return strings.TrimSpace(event.Detail)
}
