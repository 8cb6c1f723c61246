package simadapter

import (
	"time"

	"github.com/go-faster/jx"

	"onyxstream/balancer"
)

// encodeAction writes one action.
func encodeAction(w *jx.Encoder, action balancer.Action) {
	w.ObjStart()
	switch a := action.(type) {
	case balancer.Send:
		beginRequestAction(w, "transmit", a.ID)
		writeString(w, "host", string(a.Server))
		writeDuration(w, "cap", a.Timeout)
	case balancer.Reject:
		beginRequestAction(w, "notNow", a.ID)
		if a.RetryAfter > 0 {
			writeDuration(w, "pause", a.RetryAfter)
		}
	case balancer.Fail:
		beginRequestAction(w, "endFailed", a.ID)
	case balancer.Cancel:
		beginRequestAction(w, "abandon", a.ID)
		w.FieldStart("trial")
		w.Int(a.Attempt)
	case balancer.Migrate:
		beginRequestAction(w, "redirect", a.ID)
	case balancer.SetTimer:
		beginAction(w, "arm")
		writeDuration(w, "instant", a.At)
		writeString(w, "handle", a.Token)
	case balancer.WatchList:
		beginAction(w, "keepInformed")
		w.FieldStart("active")
		w.Bool(true)
	case balancer.Log:
		beginAction(w, "sayLog")
		writeString(w, "noteText", a.Text)
	}
	w.ObjEnd()
	w.ObjEnd()
}

// encodeFault writes a fault, which reports in place of actions that the balancer panicked.
func encodeFault(w *jx.Encoder, text string) {
	w.ObjStart()
	beginAction(w, "fault")
	writeString(w, "noteText", text)
	w.ObjEnd()
	w.ObjEnd()
}

func beginAction(w *jx.Encoder, name string) {
	w.FieldStart(name)
	w.ObjStart()
}

func beginRequestAction(w *jx.Encoder, name string, id balancer.RequestID) {
	beginAction(w, name)
	writeString(w, "id", string(id))
}

func writeString(w *jx.Encoder, key, value string) {
	w.FieldStart(key)
	w.Str(value)
}

// writeDuration writes a duration in milliseconds.
func writeDuration(w *jx.Encoder, key string, value time.Duration) {
	w.FieldStart(key)
	w.Float64(float64(value) / float64(time.Millisecond))
}
