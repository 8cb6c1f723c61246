package testcluster

import (
	"fmt"
	"strings"
	"time"

	"onyxstream/internal/fakeserver"
)

// RequestOutcomes is the fate of the requests that clients wrote whole to nodes, by the ledgers of clients and hosts alone.
type RequestOutcomes struct {
	Requests int `json:"asked"`
	Served   int `json:"served"`
	Rejected int `json:"refused"`
	Failed   int `json:"failed"`
	// Violations says of each request that did not get exactly one whole answer in time what became of it.
	Violations []string `json:"wrong"`
}

// answerGrace is how long after its time an answer may come before the request counts as lost.
const answerGrace = 500 * time.Millisecond

// JudgeRequests judges whether every request that was taken on got one whole answer in time, and what was served a host's own
// answer. What a node cut off that stood, without MOVE, is wrong where cut says so. Records of clients carry the id of
// their request: Asked with the patience as the note, Heard with each whole line, and at last Left, Moved or Broken. A
// request without any of these last ones is taken to have been left without an answer.
func JudgeRequests(recs []fakeserver.Event, cut bool) (t RequestOutcomes) {
	type fate struct {
		asked, heard time.Duration
		patience     time.Duration
		answers      []string
		broken       bool
	}
	all, receipts := map[string]*fate{}, map[string]string{}
	var order []string
	for _, r := range recs {
		client := strings.HasPrefix(r.Source, clientPrefix)
		f := all[r.ID]
		switch {
		case !client && r.Kind == fakeserver.EventEstablished:
			receipts[r.ID+" "+r.Detail] = r.Source
		case !client:
		case r.Kind == fakeserver.EventRequested:
			patience, _ := time.ParseDuration(r.Detail)
			all[r.ID] = &fate{asked: r.At, patience: patience}
			order = append(order, r.ID)
		case f == nil:
		case r.Kind == fakeserver.EventReceived && len(f.answers) == 0:
			f.heard, f.answers = r.At, []string{r.Detail}
		case r.Kind == fakeserver.EventReceived:
			f.answers = append(f.answers, r.Detail)
		case r.Kind == fakeserver.EventReset:
			f.broken = true
		}
	}
	t.Requests = len(order)
	for _, id := range order {
		f := all[id]
		wrong := func(format string, args ...any) {
			t.Violations = append(t.Violations, fmt.Sprintf("%s, asked at %v for %v: ", id, f.asked, f.patience)+fmt.Sprintf(format, args...))
		}
		if len(f.answers) == 0 {
			wrong("no whole answer")
			continue
		}
		if took := f.heard - f.asked; took > f.patience+answerGrace {
			wrong("%q after %v", f.answers[0], took)
		}
		word, receipt, _ := strings.Cut(f.answers[0], " ")
		switch word {
		case "UP":
			t.Served++
			if receipts[id+" "+receipt] == "" {
				wrong("%q is no host's answer", f.answers[0])
			}
			if cut && f.broken {
				wrong("cut off while it stood")
			}
			continue
		case "BUSY":
			t.Rejected++
		default:
			t.Failed++
		}
		if len(f.answers) > 1 {
			wrong("more answers than one: %q", f.answers)
		}
	}
	return t
}
