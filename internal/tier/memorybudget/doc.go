// Package memorybudget bounds the memory that a process holds on behalf of its callers: connections, heads, bodies, answers, encoded
// copies and lines between processes. A Budget holds a number of bytes, of which each piece of work reserves its share before it takes the
// memory, for the capacity and all copies that it will have. The share is a Lease, which its owner shrinks, grows and releases.
//
// Each lease has a class, and a class can't take more than its part of the budget, so that requests with small bodies find memory while
// large ones wait: see Class. Waiting reservations of a class are granted in the order in which they came.
//
// A lease whose owner waits for a caller says so (AwaitCaller). While another reservation finds no memory, the budget revokes the lease of
// the caller that has made the least progress, if it makes too little; see stalled.
//
// A Budget is safe for concurrent use, and so are the methods of a Lease. A nil Budget grants everything.
package memorybudget
