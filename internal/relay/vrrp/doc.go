// Package vrrp is the state machine and packet of VRRP version 3 (RFC 9568), carried over UDP.
//
// Machine is the state machine of section 6.4, pure: it is told the time and returns what to send. Instance runs one on a UDP socket with
// two goroutines, which end with Shutdown, and tells by Active whether this router stands for the virtual addresses.
package vrrp
