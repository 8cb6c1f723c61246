// Package fakeserver provides in-process fakes, on loopback sockets, of the systems that a node talks to: hosts with a
// capacity model, the discovery service, the front (the load balancer in front of the nodes), and network links. The
// fakes speak the real protocols, inject faults on demand while they run, and record events from which a test can judge
// the run afterwards.
package fakeserver
