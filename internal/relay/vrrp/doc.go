// Package vrrp is the state machine and packet of VRRP version 3 (RFC 9568), carried over UDP.
//
// Machine is the state machine of section 6.4. It does no I/O and reads no clock: callers pass it the time, and it returns the packets to
// send. Instance runs a Machine on a UDP socket with two goroutines, which end with Shutdown; its Active method reports whether this router
// is responsible for the virtual addresses. Names follow the RFC.
package vrrp
