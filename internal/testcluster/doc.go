// Package testcluster runs a test cluster on one machine: nodes and agents as real processes, and fake servers for the
// systems that they connect to, with fault injection on a timeline. Tests, the load generator and experiments use it.
package testcluster
