package balancer

import "slices"

// stateLists holds the servers of a table by state. They are updated as states change, as a list that replaces half
// of a large fleet asks for them thousands of times.
type stateLists struct {
	active   []*server    // by id
	byParity [2][]*server // the active ones by parity, by id
	draining [2]int       // number of draining ones, by parity
	filling  int          // number of filling ones
}

// move takes a server to a state.
func (l *stateLists) move(srv *server, to serverState) {
	switch srv.state {
	case active:
		l.active = removeByID(l.active, srv)
		l.byParity[srv.parity] = removeByID(l.byParity[srv.parity], srv)
	case draining:
		l.draining[srv.parity]--
	case filling:
		l.filling--
	}
	srv.state = to
	switch to {
	case active:
		l.active = insertByID(l.active, srv)
		l.byParity[srv.parity] = insertByID(l.byParity[srv.parity], srv)
	case draining:
		l.draining[srv.parity]++
	case filling:
		l.filling++
	}
}

// regroup gives all servers a parity in turn and lists them anew. None of them may drain.
func (l *stateLists) regroup(members []*server) {
	l.active = l.active[:0]
	l.byParity = [2][]*server{l.byParity[0][:0], l.byParity[1][:0]}
	for i, srv := range members {
		srv.parity = i % 2
		if srv.state == active {
			l.active = append(l.active, srv)
			l.byParity[srv.parity] = append(l.byParity[srv.parity], srv)
		}
	}
}

// insertByID adds a server to a list that is ordered by id.
func insertByID(list []*server, srv *server) []*server {
	at, _ := slices.BinarySearchFunc(list, srv, byID)
	return slices.Insert(list, at, srv)
}

// removeByID removes a server from a list that is ordered by id.
func removeByID(list []*server, srv *server) []*server {
	at, found := slices.BinarySearchFunc(list, srv, byID)
	if !found {
		return list
	}
	return slices.Delete(list, at, at+1)
}
