package overloadtest

import "testing"

// largeHeadBytes is just inside the 64 KiB that a response's head may have.
const largeHeadBytes = 64000

// A head that takes many times its bytes once it is parsed must not take a proxy over its memory. With lists of names in Trailer, or
// thousands of small fields, it did: what parsing makes of them wasn't bounded.
func TestEndpoints_HeadsThatParsingMultiplies_MemoryStaysWithinLimit(t *testing.T) {
	for _, head := range []headKind{distinctFieldsHead, sameFieldHead, trailerNamesHead, optionNamesHead, longValueHead, informationalHead, foreignHead} {
		t.Run(string(head), func(t *testing.T) {
			f := newFloodFixture(t, 0)
			all := flood{moment: afterRequest, head: head, headBytes: largeHeadBytes, framing: chunkFraming, body: lettersBody, pace: stalled, stallAt: largeHeadBytes + 3000}
			f.flood(floodClients, floodTime, func() flood { return all })
		})
	}
}
