// Package platformlist reads the platform's list of endpoints, which comes in pages and under a rate limit that all readers share.
//
// Reader makes the calls over one connection, within its part of the rate (tokenBucket), and retries failed pages with backoff
// until its context ends. pager collects the pages of one read. Merger merges successive reads into the list that is published,
// since a single read may miss an endpoint that moves between pages. Package controller reads through it on the leader or its
// delegate.
//
// pager, Merger, tokenBucket and backoff are pure. A Reader starts no goroutines; one goroutine at a time may use it.
package platformlist
