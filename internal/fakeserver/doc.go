// Package fakeserver provides in-process fakes, on loopback sockets, of the systems that a node talks to: hosts with a
// capacity model, the discovery service, the frontend balancer, and network links. They speak the real protocol, inject
// faults on command while they run, and record events from which a run can be judged afterwards.
package fakeserver
