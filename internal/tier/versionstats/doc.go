// Package versionstats counts, in one proxy, the outcomes of attempts by version of each service's software, so that the
// leading controller can judge a rollout by the counts of all proxies (package rollout, sequential analysis).
//
// A Counter stands between package proxy and its balancer: it passes every call on and counts selections and outcomes. The
// process reports its counts to the agent at intervals (package command).
package versionstats
