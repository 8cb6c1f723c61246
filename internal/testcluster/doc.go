// Package testcluster runs a cluster on one machine: nodes and agents as real processes, and fake servers for the
// systems that they talk to, with faults on a timeline. Tests, the load generator and experiments use it.
package testcluster
