package balancer

import "slices"

// stateLists are the servers of a table by state, kept as states change: a list that replaces half of a large fleet asks
// for them thousands of times. No decision is made here.
type stateLists struct {
	active   []*server    // by id
	groups   [2][]*server // the active ones by parity, by id
	draining [2]int       // how many drain, by parity
	filling  int          // how many fill
}

// move moves a server to a state.
func (l *stateLists) move(s *server, to nodeState) {
	switch s.state {
	case active:
		l.active = removeByID(l.active, s)
		l.groups[s.parity] = removeByID(l.groups[s.parity], s)
	case draining:
		l.draining[s.parity]--
	case filling:
		l.filling--
	}
	switch s.state = to; to {
	case active:
		l.active = insertByID(l.active, s)
		l.groups[s.parity] = insertByID(l.groups[s.parity], s)
	case draining:
		l.draining[s.parity]++
	case filling:
		l.filling++
	}
}

// regroup gives servers their parity anew, in turn, and lists them. None of them may drain.
func (l *stateLists) regroup(holders []*server) {
	l.active, l.groups = l.active[:0], [2][]*server{l.groups[0][:0], l.groups[1][:0]}
	for i, s := range holders {
		if s.parity = i % 2; s.state == active {
			l.active = append(l.active, s)
			l.groups[s.parity] = append(l.groups[s.parity], s)
		}
	}
}

// insertByID puts a server into a list by id.
func insertByID(list []*server, s *server) []*server {
	at, _ := slices.BinarySearchFunc(list, s, byID)
	return slices.Insert(list, at, s)
}

// removeByID takes a server out of a list by id.
func removeByID(list []*server, s *server) []*server {
	at, found := slices.BinarySearchFunc(list, s, byID)
	if !found {
		return list
	}
	return slices.Delete(list, at, at+1)
}
