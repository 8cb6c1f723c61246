package lifecycle

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/sharedstate"
)

// nodeOrder is the key of orders on the node itself; hosts have names.
const nodeOrder = ""

// unwrittenOrder is an order that holds in this process and could not be written for the others yet: the folder may be
// full for a while, and what was taken on is still owed.
type unwrittenOrder struct {
	target string // a host, or nodeOrder
	after  uint64 // the document's changes that were known when it was given: a later one on the target goes before it
	blind  bool   // the document had not been read then: after means nothing until settle has looked
	given  time.Time
	change func(*sharedstate.State) error
}

// unwritten are such orders, one for each target: a later one takes the place of an earlier one. What is refused for
// want of room in the document never comes here, so they are bounded like the document's own.
type unwritten []unwrittenOrder

func (u *unwritten) add(o unwrittenOrder) {
	u.drop(o.target)
	*u = append(*u, o)
}

func (u *unwritten) drop(target string) {
	*u = slices.DeleteFunc(*u, func(o unwrittenOrder) bool { return o.target == target })
}

// write puts the orders into a document, but for those whose target has had a later one from another process, and those
// for which it has no room: they hold here, as where they are given.
func (u unwritten) write(d *sharedstate.State) {
	for _, o := range u {
		if latest(d, o.target) <= o.after {
			_ = o.change(d)
		}
	}
}

// settle decides, for orders that were given before the document was ever read, whether what it says on their targets is
// older: then they go before it. Drains carry no time of their own; this process's is what operators said last to it.
func (u unwritten) settle(d *sharedstate.State) {
	for i, o := range u {
		if !o.blind {
			continue
		}
		u[i].blind = false
		if word, ok := wordOn(d, o.target); !ok || !word.SetAt.After(o.given) {
			u[i].after = latest(d, o.target)
		}
	}
}

// supersedes reports whether an order that is not written yet goes before the document's change on a target.
func (u unwritten) supersedes(target string, serial uint64) bool {
	return slices.ContainsFunc(u, func(o unwrittenOrder) bool { return o.target == target && o.after >= serial })
}

// wordOn is the document's word on a host.
func wordOn(d *sharedstate.State, host string) (w sharedstate.HostOverride, ok bool) {
	i := slices.IndexFunc(d.Overrides, func(w sharedstate.HostOverride) bool { return w.Host == host })
	if i < 0 {
		return w, false
	}
	return d.Overrides[i], true
}

// latest is the document's last change on a target, 0 for none.
func latest(d *sharedstate.State, target string) uint64 {
	if target == nodeOrder {
		return d.Drain.Serial
	}
	w, _ := wordOn(d, target)
	return w.Serial
}

// writeOwed writes what could not be written before.
func (s *shared) writeOwed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	store := s.store()
	if store == nil || len(s.owed) == 0 {
		return
	}
	var serial uint64
	err := store.Update(func(d *sharedstate.State) error {
		s.take(*d)
		s.owed.write(d)
		serial = d.Serial
		return nil
	})
	if s.noted(err); err != nil {
		return
	}
	s.log.Info("orders that could not be shared before are shared now", zap.Int("orders", len(s.owed)))
	s.seen, s.owed = serial, nil
}
