// Package platformlist reads the platform's list of endpoints, which is paged and subject to a rate limit that all readers share.
//
// Reader makes the calls over one connection, within its share of the rate (tokenBucket), and retries failed pages with backoff until
// the context ends. pager collects the pages of one read. Merger merges successive reads into the published list, since a single read
// may miss an endpoint that moves between pages. Package controller uses a Reader on the leader or its delegate.
//
// pager, Merger, tokenBucket and backoff do no I/O and read no clock. A Reader starts no goroutines and is not safe for concurrent use.
package platformlist
