package management

import "strconv"

// FinalAnswers are the numbers of final answers to the clients of one class.
type FinalAnswers struct {
	Class                    string
	Success, Overload, Error uint64 // established, rejected and failed requests
}

// Stats are the counters of a node since the start of its process, and its gauges.
type Stats struct {
	FinalAnswers      []FinalAnswers
	Dispatches        uint64 // attempts that were completely written to a host
	Concurrent        int64  // client connections
	Targets, Disabled int64  // hosts in the endpoint list, and how many of these hosts the node avoids
}

// Text formats the reply to show-stat: YES, one line for each counter or gauge, and END.
func (s *Stats) Text() []byte {
	text := []byte("YES\r\n")
	add := func(name string, value uint64) {
		text = append(text, "svc."...)
		text = append(text, name...)
		text = append(text, '=')
		text = strconv.AppendUint(text, value, 10)
		text = append(text, "\r\n"...)
	}
	for _, answers := range s.FinalAnswers {
		prefix := "replies." + answers.Class
		add(prefix+".success", answers.Success)
		add(prefix+".overload", answers.Overload)
		add(prefix+".error", answers.Error)
	}
	add("dispatches", s.Dispatches)
	add("concurrent", uint64(max(s.Concurrent, 0)))
	add("targets", uint64(max(s.Targets, 0)))
	add("targets_disabled", uint64(max(s.Disabled, 0)))
	return append(text, "END\r\n"...)
}
