package balancer

import "slices"

// stateLists holds the servers of a table by state. It is updated incrementally because it is read thousands of times
// when an endpoint list replaces half of a large fleet.
type stateLists struct {
	active   []*server    // active servers, sorted by id
	byParity [2][]*server // active servers of each parity, sorted by id
	draining [2]int       // number of draining servers of each parity
	filling  int          // number of filling servers
}

// move changes the state of a server.
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

// regroup assigns alternating parities to all servers and rebuilds the lists. No server may be draining.
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

// insertByID inserts a server into a list that is sorted by id.
func insertByID(list []*server, srv *server) []*server {
	at, _ := slices.BinarySearchFunc(list, srv, byID)
	return slices.Insert(list, at, srv)
}

// removeByID removes a server from a list that is sorted by id.
func removeByID(list []*server, srv *server) []*server {
	at, found := slices.BinarySearchFunc(list, srv, byID)
	if !found {
		return list
	}
	return slices.Delete(list, at, at+1)
}
