// Package vrrp is the state machine and packet of VRRP version 3 (RFC 9568), carried over UDP.
//
// Machine is the state machine of section 6.4, pure: it is given the time and returns what to send. Instance runs one on a UDP socket with
// two goroutines, which end with Shutdown; its Active reports whether this router is responsible for the virtual addresses. Names are the RFC's.
package vrrp
