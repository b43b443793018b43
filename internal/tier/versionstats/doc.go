// Package versionstats counts, within one proxy, the outcomes of attempts by version of each service's software. From the counts of
// all proxies, the leading controller decides on a rollout by sequential analysis (package rollout).
//
// A Counter wraps the balancer that package proxy uses: it forwards every call and counts selections and outcomes. The proxy process
// reports the counts to the agent at intervals (package command).
package versionstats
