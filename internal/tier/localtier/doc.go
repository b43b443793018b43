// Package localtier runs a tier of real processes on loopback addresses of one machine, for the demo and the soak: New lays out
// machines and writes settings, Process starts, signals and awaits one role, Environment simulates the platform, the model
// servers and the tools around the tier, and Operator configures it as an operator would.
//
// Each machine has an address of its own in a random network of 127.0.0.0/8, so that several tiers may run at the same time.
// The processes end with the process that started them, even if it is killed. The methods of one Process must not be called
// concurrently; a Tier and an Operator may be used by several goroutines.
package localtier
