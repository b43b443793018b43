package plugin

import (
	"context"
	"errors"
	"net/textproto"
	"strconv"
	"time"

	"github.com/tetratelabs/wazero"
	"github.com/tetratelabs/wazero/api"

	"mastusher/internal/relay/plugin/rules"
	"mastusher/internal/relay/plugin/store"
)

// ABI 2: the host calls a function without arguments for each phase, and the module asks for what it needs. The host
// never allocates in the module and writes only into room that the module offers in that very call.

// moduleABI2 is the name that a module of ABI 2 imports from.
const moduleABI2 = "mastusher_v2"

// markerABI2 is exported by each module of ABI 2: () -> i32, the mask of phases that it takes part in.
const markerABI2 = "mastusher_abi_2"

var exportsABI2 = map[Phase]string{Arrival: "on_arrival", Answer: "on_answer", End: "on_end"}

// Fields of a call, by their numbers in the interface.
const (
	fieldFront = iota
	fieldID
	fieldKey
	fieldClass
	fieldBody
	fieldTo
	fieldHow
	fieldConfig
	fieldName
)

// Numbers of a call.
const (
	numPhase = iota
	numPartner
	numLeft // ms
	numResubmitted
	numStatus
	numWait // ms that the destination has told
	numResult
	numNow // Unix ms
)

// hostFunction is one import that a module may have.
type hostFunction struct {
	name            string
	params, results []api.ValueType
	do              func(w *worker, m api.Memory, stack []uint64)
}

const (
	i32 = api.ValueTypeI32
	i64 = api.ValueTypeI64
)

// hostFunctions are all imports of ABI 2. at and size are pointers and lengths in the module's memory; what does not
// lie inside it traps. A result below 0 is a refusal of package rules.
var hostFunctions = []hostFunction{
	// get(field, at, room) -> size: writes as much of a field as there is room for, and returns its whole size.
	{"get", []api.ValueType{i32, i32, i32}, []api.ValueType{i32}, func(w *worker, m api.Memory, s []uint64) {
		if uint32(s[0]) == fieldBody {
			b, ok := w.call.Body, w.call.Phase != End
			if w.outcome.Body != nil {
				b = w.outcome.Body
			}
			s[0] = writeResult(m, b, ok, s[1], s[2])
			return
		}
		v, ok := w.field(uint32(s[0]))
		s[0] = writeResult(m, v, ok, s[1], s[2])
	}},
	// number(which) -> value
	{"number", []api.ValueType{i32}, []api.ValueType{i64}, func(w *worker, _ api.Memory, s []uint64) {
		s[0] = uint64(w.number(uint32(s[0])))
	}},
	// get_header(name, size, at, room) -> size: of the client's request on arrival, of the answer afterwards.
	{"get_header", []api.ValueType{i32, i32, i32, i32}, []api.ValueType{i32}, func(w *worker, m api.Memory, s []uint64) {
		v, ok := w.call.In[textproto.CanonicalMIMEHeaderKey(w.text(m, s[0], s[1]))]
		text := ""
		if ok = ok && len(v) > 0; ok {
			text = v[0]
		}
		s[0] = writeResult(m, text, ok, s[2], s[3])
	}},
	// out_header(name, size, at, room) -> size: as it will go out, as far as it has been set.
	{"out_header", []api.ValueType{i32, i32, i32, i32}, []api.ValueType{i32}, func(w *worker, m api.Memory, s []uint64) {
		v, ok := w.outcome.Shape.Get(w.text(m, s[0], s[1]))
		s[0] = writeResult(m, v, ok, s[2], s[3])
	}},
	// set_header(name, size, value, size) -> refusal
	{"set_header", []api.ValueType{i32, i32, i32, i32}, []api.ValueType{i32}, func(w *worker, m api.Memory, s []uint64) {
		name, value := w.text(m, s[0], s[1]), w.text(m, s[2], s[3])
		why := rules.Phase
		if w.call.Phase == Arrival {
			w.outcome.Shape, why = w.outcome.Shape.Set(w.call.guard, &w.version.host.rules, name, value)
		}
		s[0] = w.refuse("header "+name, why)
	}},
	// remove_header(name, size) -> refusal
	{"remove_header", []api.ValueType{i32, i32}, []api.ValueType{i32}, func(w *worker, m api.Memory, s []uint64) {
		why := rules.Phase
		if w.call.Phase == Arrival {
			w.outcome.Shape, why = w.outcome.Shape.Remove(w.text(m, s[0], s[1]))
		}
		s[0] = api.EncodeI32(int32(why)) // to remove what is not there is no offence
	}},
	// set_body(at, size) -> refusal
	{"set_body", []api.ValueType{i32, i32}, []api.ValueType{i32}, func(w *worker, m api.Memory, s []uint64) {
		b, why := w.boundedBytes(m, s[0], s[1], w.version.host.rules.BodySize+1), rules.Phase
		if w.call.Phase == Arrival {
			if why = rules.Rewrite(w.call.guard, &w.version.host.rules, w.call.Body, b); why == rules.None {
				w.outcome.Body = append([]byte{}, b...)
			}
		}
		s[0] = w.refuse("body", why)
	}},
	// reject(status, reason, size) -> refusal: the message is not taken on, and its client told so.
	{"reject", []api.ValueType{i32, i32, i32}, []api.ValueType{i32}, func(w *worker, m api.Memory, s []uint64) {
		reason, why := w.text(m, s[1], s[2]), rules.None
		switch status := api.DecodeI32(s[0]); {
		case w.call.Phase != Arrival:
			why = rules.Phase
		case status < 400 || status > 499 || status == 429 || status == 408:
			why = rules.Looser // a refusal is the module's to give
		default:
			w.outcome.Reject, w.outcome.Status, w.outcome.Reason = true, int(status), truncate(reason, w.version.host.limits.PluginReason)
		}
		s[0] = w.refuse("reject", why)
	}},
	// wait(ms) -> refusal: nothing goes to this destination's partner for at least so long.
	{"wait", []api.ValueType{i64}, []api.ValueType{i32}, func(w *worker, _ api.Memory, s []uint64) {
		ms := int64(s[0])
		s[0] = w.ask("wait", rules.Ask{RetryAfter: time.Duration(min(max(ms, 0), 1<<40)) * time.Millisecond})
	}},
	// refuse() -> refusal: the message is given up for good.
	{"refuse", nil, []api.ValueType{i32}, func(w *worker, _ api.Memory, s []uint64) {
		s[0] = w.ask("refuse", rules.Ask{Refuse: true})
	}},
	// log(at, size)
	{"log", []api.ValueType{i32, i32}, nil, func(w *worker, m api.Memory, s []uint64) { w.log(w.text(m, s[0], s[1])) }},
	// random() -> number, the same for the same seed, plug-in and message
	{"random", nil, []api.ValueType{i64}, func(w *worker, _ api.Memory, s []uint64) { s[0] = w.rng.Uint64() }},
	// store_get(key, size, at, room) -> size
	{"store_get", []api.ValueType{i32, i32, i32, i32}, []api.ValueType{i32}, func(w *worker, m api.Memory, s []uint64) {
		v, ok := w.tx.Get(w.text(m, s[0], s[1]))
		s[0] = writeResult(m, v, ok, s[2], s[3])
	}},
	// store_set(key, size, value, size, ms) -> refusal: for so long, or with 0 for good
	{"store_set", []api.ValueType{i32, i32, i32, i32, i64}, []api.ValueType{i32}, func(w *worker, m api.Memory, s []uint64) {
		ttl := time.Duration(min(max(int64(s[4]), 0), 1<<40)) * time.Millisecond
		s[0] = w.refuse("store", refusal(w.tx.Set(w.text(m, s[0], s[1]), w.boundedBytes(m, s[2], s[3], 8<<10), ttl)))
	}},
	// store_delete(key, size)
	{"store_delete", []api.ValueType{i32, i32}, nil, func(w *worker, m api.Memory, s []uint64) { w.tx.Delete(w.text(m, s[0], s[1])) }},
}

// exportABI2 makes the imports of ABI 2 known to a runtime.
func exportABI2(ctx context.Context, r wazero.Runtime) error {
	b := r.NewHostModuleBuilder(moduleABI2)
	for _, f := range hostFunctions {
		b.NewFunctionBuilder().WithGoModuleFunction(api.GoModuleFunc(func(ctx context.Context, m api.Module, s []uint64) {
			w := workerOf(ctx)
			if w.call == nil || w.tx == nil { // while it starts there is no message to speak of
				panic(errors.New("plugin: a call to the relay before the first message"))
			}
			f.do(w, m.Memory(), s)
		}), f.params, f.results).Export(f.name)
	}
	_, err := b.Instantiate(ctx)
	return err
}

// bytesAt is a part of the module's memory; it holds until the module runs on.
func bytesAt(m api.Memory, at, size uint64) []byte {
	if m == nil {
		panic(ErrOutOfBounds)
	}
	b, ok := m.Read(uint32(at), uint32(size))
	if !ok {
		panic(ErrOutOfBounds)
	}
	return b
}

// text is a text that a module hands over, or nearly: of one that is longer than anything it can be good for only
// enough is copied to see that.
func (w *worker) text(m api.Memory, at, size uint64) string {
	return string(w.boundedBytes(m, at, size, maxText))
}

// boundedBytes is the beginning of a part of memory that will be copied, which a call may only have so much of: the heap that
// it is copied to is the relay's.
func (w *worker) boundedBytes(m api.Memory, at, size uint64, most int) []byte {
	b := bytesAt(m, at, size)
	b = b[:min(len(b), most)]
	if w.copied += len(b) + 64; w.copied > w.version.host.limits.PluginCopyBytes {
		panic(ErrCopyLimit)
	}
	return b
}

// maxText is more than any name, value or reason may have.
const maxText = 2 << 10

// writeResult writes what there is room for and returns the whole size, or that there is none.
func writeResult[T string | []byte](m api.Memory, v T, ok bool, at, room uint64) uint64 {
	if !ok {
		return api.EncodeI32(int32(rules.Absent))
	}
	copy(bytesAt(m, at, room), v)
	return uint64(len(v))
}

func (w *worker) field(n uint32) (string, bool) {
	c := w.call
	switch n {
	case fieldFront:
		return c.Front, true
	case fieldID:
		return c.ID, true
	case fieldKey:
		return c.Key, c.Key != ""
	case fieldClass:
		return c.ClassName, true
	case fieldTo:
		return c.Destination, c.Phase == Answer
	case fieldHow:
		return c.Result, c.Phase == End
	case fieldConfig:
		return w.version.cfg.Config, w.version.cfg.Config != ""
	case fieldName:
		return w.version.cfg.Name, true
	}
	return "", false
}

func (w *worker) number(n uint32) int64 {
	c := w.call
	switch n {
	case numPhase:
		return int64(c.Phase)
	case numPartner:
		return int64(c.Partner)
	case numLeft:
		return c.TimeLeft.Milliseconds()
	case numResubmitted:
		if c.Resubmitted {
			return 1
		}
		return 0
	case numStatus:
		return int64(c.Status)
	case numWait:
		return c.Answer.RetryAfter.Milliseconds()
	case numResult:
		return int64(c.Answer.Result)
	case numNow:
		return c.Now.UnixMilli()
	}
	return int64(rules.Absent)
}

// refuse notes what was not done, and returns the module's number for it.
func (w *worker) refuse(what string, why rules.Refusal) uint64 {
	if why != rules.None && len(w.outcome.Refused) < 16 {
		w.outcome.Refused = append(w.outcome.Refused, Refused{truncate(what, 80), why})
	}
	return api.EncodeI32(int32(why))
}

// ask notes what an answer's phase wants, if it may have it.
func (w *worker) ask(what string, more rules.Ask) uint64 {
	if w.call.Phase != Answer {
		return w.refuse(what, rules.Phase)
	}
	ask := rules.Ask{RetryAfter: max(w.outcome.Ask.RetryAfter, more.RetryAfter), Refuse: w.outcome.Ask.Refuse || more.Refuse}
	_, why := rules.Tighten(w.call.Answer, ask, &w.version.host.rules)
	if why == rules.None {
		w.outcome.Ask = ask
	}
	return w.refuse(what, why)
}

func (w *worker) log(text string) {
	if len(w.outcome.Logs) < w.version.host.limits.PluginLines {
		w.outcome.Logs = append(w.outcome.Logs, truncate(text, w.version.host.limits.PluginReason))
	}
}

// truncate shortens text and replaces what a log or a header line can't hold.
func truncate(s string, most int) string {
	if len(s) > most {
		s = s[:most]
	}
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' {
			q := strconv.QuoteToASCII(s)
			return q[1 : len(q)-1]
		}
	}
	return s
}

func refusal(err error) rules.Refusal {
	switch {
	case err == nil:
		return rules.None
	case errors.Is(err, store.ErrFull), errors.Is(err, store.ErrKey), errors.Is(err, store.ErrValue):
		return rules.Large
	}
	return rules.Locked
}
