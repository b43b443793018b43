package overloadtest

import "testing"

// idleFloodClients is more than the descriptors of a proxy have room for.
const idleFloodClients = 900

// largeHeadBytes is just inside the 64 KiB that a response's head may have.
const largeHeadBytes = 64000

// playAll plays floods one after the other on one tier.
func playAll(t *testing.T, floods map[string]flood) {
	t.Helper()
	f := newFloodFixture(t, 0)
	for name, all := range floods {
		t.Run(name, func(t *testing.T) {
			f.t = t
			f.flood(floodClients, floodTime, func() flood { return all })
		})
	}
}

// A head that takes many times its bytes once it is parsed must not take a proxy over its memory. With lists of names in Trailer, or
// thousands of small fields, it did: what parsing makes of them wasn't bounded.
func TestEndpoints_HeadsThatParsingMultiplies_MemoryStaysWithinLimit(t *testing.T) {
	floods := map[string]flood{}
	for _, head := range []headKind{distinctFieldsHead, sameFieldHead, trailerNamesHead, optionNamesHead, longValueHead, informationalHead, foreignHead} {
		floods[string(head)] = flood{moment: afterRequest, head: head, headBytes: largeHeadBytes, framing: chunkFraming, body: lettersBody,
			pace: stalled, stallAt: largeHeadBytes + 3000}
	}
	playAll(t, floods)
}

// Bytes that are no answer, in a head or in a body, which the endpoint sends without end or stops in the middle of, must not be kept beyond
// a proxy's memory. Before proxies had a budget of memory, they kept each incomplete event and each collected output.
func TestEndpoints_BytesWithoutEnd_MemoryStaysWithinLimit(t *testing.T) {
	const almostLargestEvent = 1000 << 10
	floods := map[string]flood{}
	for _, head := range []headKind{endlessLineHead, endlessFieldHead, noiseHead} {
		floods["head, "+string(head)] = flood{moment: afterRequest, head: head, pace: atOnce}
	}
	for _, body := range []bodyKind{lettersBody, noiseBody, longEvent, longIDs, tinyEvents, numbered, mediumEvents} {
		floods["body, "+string(body)] = flood{moment: afterRequest, head: ordinaryHead, framing: closeFraming, body: body, pace: atOnce}
		floods["body that stalls, "+string(body)] = flood{moment: afterRequest, head: ordinaryHead, framing: chunkFraming, body: body, pace: stalled,
			stallAt: almostLargestEvent}
	}
	playAll(t, floods)
}

// Bytes that arrive on connections that nobody uses must not fill a proxy's memory.
func TestEndpoints_BytesOnIdleConnections_MemoryStaysWithinLimit(t *testing.T) {
	f := newFloodFixture(t, 0)
	all := flood{moment: whileIdle, head: noiseHead, pace: atOnce}
	f.flood(idleFloodClients, floodTime, func() flood { return all })
}
