// Package gossip replicates change tickets, the instance list, and crash and run reports between the processes.
//
// Lock order: Member.mutex is acquired before those of its ticket store, instance list and evidence store; no two of
// the latter are held together.
package gossip
