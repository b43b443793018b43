package overloadtest

import (
	"fmt"
	"math/rand/v2"
)

// headKind is the kind of head with which an endpoint answers.
type headKind string

// The kinds of heads. The first ones end, and a body follows; the others never end, or aren't the head of the response.
const (
	ordinaryHead       headKind = "ordinary"
	distinctFieldsHead headKind = "distinct fields"     // as many fields as fit into the bytes of a head
	sameFieldHead      headKind = "same field"          // one field as often as fits
	trailerNamesHead   headKind = "names of trailers"   // a list in Trailer
	optionNamesHead    headKind = "connection options"  // a list in Connection
	longValueHead      headKind = "long value"          // one field that takes all bytes
	unsealedHead       headKind = "unsealed"            // without X-Server-Seal
	foreignHead        headKind = "foreign"             // with another request's id, again and again, then the ordinary one
	informationalHead  headKind = "informational"       // 1xx with many fields, again and again, then the ordinary one
	noContentHead      headKind = "no content"          // 204, which a body follows all the same
	endlessLineHead    headKind = "endless status line" // this one and those after it never end
	endlessFieldHead   headKind = "endless field"
	endlessFieldsHead  headKind = "endless fields"
	continuationHead   headKind = "endless continuation lines"
	endless1xxHead     headKind = "endless informational"
	endlessForeignHead headKind = "endless foreign"
	noiseHead          headKind = "noise"
)

var headKinds = []headKind{
	ordinaryHead, distinctFieldsHead, sameFieldHead, trailerNamesHead, optionNamesHead, longValueHead, unsealedHead, foreignHead, informationalHead,
	noContentHead, endlessLineHead, endlessFieldHead, endlessFieldsHead, continuationHead, endless1xxHead, endlessForeignHead, noiseHead,
}

// framing is how an endpoint marks the end of its body.
type framing string

// The framings.
const (
	lengthFraming     framing = "length"           // of all that it will ever send
	overrunFraming    framing = "length overrun"   // of a small part of what follows
	chunkFraming      framing = "chunks"           // large ones
	tinyChunkFraming  framing = "tiny chunks"      // of a byte each
	extensionFraming  framing = "chunk extensions" // long ones at each chunk
	endlessExtension  framing = "endless extension"
	endlessSize       framing = "endless chunk size"
	trailerFraming    framing = "trailers" // without end, after an empty body
	closeFraming      framing = "close"    // the end of the connection
	contradictFraming framing = "length and chunks"
)

var framings = []framing{
	lengthFraming, overrunFraming, chunkFraming, tinyChunkFraming, extensionFraming, endlessExtension, endlessSize, trailerFraming, closeFraming,
	contradictFraming,
}

// bodyKind is what an endpoint sends as its body, without end.
type bodyKind string

// The kinds of bodies.
const (
	lettersBody   bodyKind = "letters"        // without a line feed
	noiseBody     bodyKind = "noise"          // random bytes
	tinyEvents    bodyKind = "tiny events"    // with data
	numbered      bodyKind = "numbered"       // tiny events with ids
	comments      bodyKind = "comments"       // empty comments
	emptyLines    bodyKind = "empty lines"    // line feeds alone
	longEvent     bodyKind = "long event"     // data lines of one event
	longIDs       bodyKind = "long ids"       // events whose id has half a megabyte
	manyIDs       bodyKind = "many ids"       // id lines of one event
	mediumEvents  bodyKind = "medium events"  // of 200 KB each
	moreResponses bodyKind = "more responses" // complete responses, one after the other
)

var bodyKinds = []bodyKind{
	lettersBody, noiseBody, tinyEvents, numbered, comments, emptyLines, longEvent, longIDs, manyIDs, mediumEvents, moreResponses,
}

// moment is when an endpoint begins to misbehave.
type moment string

// The moments.
const (
	onConnect     moment = "on connect" // before it has read a request
	afterHead     moment = "after head" // of the request, whose body it doesn't read
	afterRequest  moment = "after request"
	afterResponse moment = "after response" // an ordinary one, on a connection that is idle then
	insideStream  moment = "inside stream"  // after some ordinary events
	whileIdle     moment = "while idle"     // after an ordinary response that comes late, so that many connections are idle at once
)

var moments = []moment{onConnect, afterHead, afterRequest, afterRequest, afterRequest, afterResponse, insideStream}

// pace is how an endpoint sends.
type pace string

// The paces.
const (
	atOnce  pace = "at once"
	stalled pace = "stalled" // it stops after some bytes and keeps the connection open
	dripped pace = "dripped" // a little at a time
)

var paces = []pace{atOnce, atOnce, stalled, stalled, dripped}

// stallPoints are the numbers of bytes after which a stalled endpoint stops: short of the bounds of heads, events and lines, and beyond.
var stallPoints = []int{1 << 10, 30 << 10, 63 << 10, 65 << 10, 250 << 10, 1000 << 10, 4 << 20}

// flood is what an endpoint sends in place of an ordinary response.
type flood struct {
	moment    moment
	head      headKind
	headBytes int // of a head that ends
	framing   framing
	body      bodyKind
	pace      pace
	stallAt   int // bytes of the flood, if its pace is stalled
}

// String describes the flood.
func (f flood) String() string {
	return fmt.Sprintf("%s: head %s (%d bytes), framing %s, body %s, %s (%d bytes)", f.moment, f.head, f.headBytes, f.framing, f.body, f.pace, f.stallAt)
}

// drawFlood draws a flood.
func drawFlood(random *rand.Rand) flood {
	return flood{
		moment:    pick(random, moments),
		head:      pick(random, headKinds),
		headBytes: pick(random, []int{2 << 10, 15 << 10, 60 << 10, 64000}),
		framing:   pick(random, framings),
		body:      pick(random, bodyKinds),
		pace:      pick(random, paces),
		stallAt:   pick(random, stallPoints),
	}
}

// pick draws one of several values.
func pick[T any](random *rand.Rand, values []T) T { return values[random.IntN(len(values))] }
