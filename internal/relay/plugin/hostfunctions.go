package plugin

import (
	"net/textproto"
	"time"

	"github.com/tetratelabs/wazero/api"

	"mastusher/internal/relay/plugin/rules"
)

// hostFunction is a function that an ABI 2 module may import. do reads the parameters from the stack and writes the result to
// stack[0].
type hostFunction struct {
	name            string
	params, results []api.ValueType
	do              func(w *worker, m api.Memory, stack []uint64)
}

// Types of parameters and results.
const (
	i32 = api.ValueTypeI32
	i64 = api.ValueTypeI64
)

// maxMs is the upper bound for durations that a module passes, in ms: about 35 years, which a time.Duration can hold.
const maxMs = 1 << 40

// maxStoreValue bounds how many bytes of a store value are copied. It is above storeValueSize, so that the store still refuses a
// value that is too long.
const maxStoreValue = 8 << 10

// Limits on the refusals that are recorded for one call.
const (
	maxRefusals    = 16
	maxRefusalText = 80 // bytes
)

// Statuses that a module may not reject with, because they tell the client to send the message again.
const (
	statusRequestTimeout  = 408
	statusTooManyRequests = 429
)

// hostFunctions lists the functions that ABI 2 modules may import. In the comments below, "at" is an address in the module's
// memory, "size" a length in bytes, and "capacity" how many bytes may be written there. An address or length outside the memory
// traps. A negative result is a rules.Refusal.
var hostFunctions = []hostFunction{
	{"get", []api.ValueType{i32, i32, i32}, []api.ValueType{i32}, (*worker).hostGet},
	{"number", []api.ValueType{i32}, []api.ValueType{i64}, (*worker).hostNumber},
	{"get_header", []api.ValueType{i32, i32, i32, i32}, []api.ValueType{i32}, (*worker).hostGetHeader},
	{"out_header", []api.ValueType{i32, i32, i32, i32}, []api.ValueType{i32}, (*worker).hostOutHeader},
	{"set_header", []api.ValueType{i32, i32, i32, i32}, []api.ValueType{i32}, (*worker).hostSetHeader},
	{"remove_header", []api.ValueType{i32, i32}, []api.ValueType{i32}, (*worker).hostRemoveHeader},
	{"set_body", []api.ValueType{i32, i32}, []api.ValueType{i32}, (*worker).hostSetBody},
	{"reject", []api.ValueType{i32, i32, i32}, []api.ValueType{i32}, (*worker).hostReject},
	{"wait", []api.ValueType{i64}, []api.ValueType{i32}, (*worker).hostWait},
	{"refuse", nil, []api.ValueType{i32}, (*worker).hostRefuse},
	{"log", []api.ValueType{i32, i32}, nil, (*worker).hostLog},
	{"random", nil, []api.ValueType{i64}, (*worker).hostRandom},
	{"store_get", []api.ValueType{i32, i32, i32, i32}, []api.ValueType{i32}, (*worker).hostStoreGet},
	{"store_set", []api.ValueType{i32, i32, i32, i32, i64}, []api.ValueType{i32}, (*worker).hostStoreSet},
	{"store_delete", []api.ValueType{i32, i32}, nil, (*worker).hostStoreDelete},
}

// get(field, at, capacity) -> size: writes as much of a field as fits, and returns the field's full size.
func (w *worker) hostGet(m api.Memory, stack []uint64) {
	if uint32(stack[0]) == fieldBody {
		body, ok := w.call.Body, w.call.Phase != End
		if w.outcome.Body != nil {
			body = w.outcome.Body
		}
		stack[0] = writeResult(m, body, ok, stack[1], stack[2])
		return
	}
	text, ok := w.field(uint32(stack[0]))
	stack[0] = writeResult(m, text, ok, stack[1], stack[2])
}

// number(which) -> value
func (w *worker) hostNumber(_ api.Memory, stack []uint64) {
	stack[0] = uint64(w.number(uint32(stack[0])))
}

// get_header(name, size, at, capacity) -> size: a header of the client's request on arrival, of the destination's answer in the
// answer phase.
func (w *worker) hostGetHeader(m api.Memory, stack []uint64) {
	values := w.call.In[textproto.CanonicalMIMEHeaderKey(w.text(m, stack[0], stack[1]))]
	value, ok := "", len(values) > 0
	if ok {
		value = values[0]
	}
	stack[0] = writeResult(m, value, ok, stack[2], stack[3])
}

// out_header(name, size, at, capacity) -> size: an extra header that this plug-in or an earlier one has set.
func (w *worker) hostOutHeader(m api.Memory, stack []uint64) {
	value, ok := w.outcome.ExtraHeaders.Get(w.text(m, stack[0], stack[1]))
	stack[0] = writeResult(m, value, ok, stack[2], stack[3])
}

// set_header(name, size, value, size) -> refusal
func (w *worker) hostSetHeader(m api.Memory, stack []uint64) {
	name, value := w.text(m, stack[0], stack[1]), w.text(m, stack[2], stack[3])
	why := rules.Phase
	if w.call.Phase == Arrival {
		w.outcome.ExtraHeaders, why = w.outcome.ExtraHeaders.Set(w.call.frontRules, &w.version.host.rules, name, value)
	}
	stack[0] = w.refuse("header "+name, why)
}

// remove_header(name, size) -> refusal. Its refusals are not recorded: removing a header that is not set does no harm.
func (w *worker) hostRemoveHeader(m api.Memory, stack []uint64) {
	why := rules.Phase
	if w.call.Phase == Arrival {
		w.outcome.ExtraHeaders, why = w.outcome.ExtraHeaders.Remove(w.text(m, stack[0], stack[1]))
	}
	stack[0] = api.EncodeI32(int32(why))
}

// set_body(at, size) -> refusal
func (w *worker) hostSetBody(m api.Memory, stack []uint64) {
	limits := &w.version.host.rules
	body, why := w.boundedBytes(m, stack[0], stack[1], limits.BodySize+1), rules.Phase
	if w.call.Phase == Arrival {
		if why = rules.CheckBody(w.call.frontRules, limits, w.call.Body, body); why == rules.None {
			w.outcome.Body = append([]byte{}, body...)
		}
	}
	stack[0] = w.refuse("body", why)
}

// reject(status, reason, size) -> refusal: the message is not accepted, and its client is answered with status and reason.
func (w *worker) hostReject(m api.Memory, stack []uint64) {
	reason, why := w.text(m, stack[1], stack[2]), rules.None
	switch status := api.DecodeI32(stack[0]); {
	case w.call.Phase != Arrival:
		why = rules.Phase
	case status < 400 || status > 499 || status == statusTooManyRequests || status == statusRequestTimeout:
		why = rules.Looser // a module may only reject for good
	default:
		w.outcome.Reject, w.outcome.Status = true, int(status)
		w.outcome.Reason = truncate(reason, w.version.host.limits.PluginReason)
	}
	stack[0] = w.refuse("reject", why)
}

// wait(ms) -> refusal: nothing is sent to this destination's partner for at least ms.
func (w *worker) hostWait(_ api.Memory, stack []uint64) {
	stack[0] = w.ask("wait", rules.Ask{RetryAfter: durationOfMs(stack[0])})
}

// refuse() -> refusal: the message is not sent again.
func (w *worker) hostRefuse(_ api.Memory, stack []uint64) {
	stack[0] = w.ask("refuse", rules.Ask{Refuse: true})
}

// log(at, size)
func (w *worker) hostLog(m api.Memory, stack []uint64) { w.log(w.text(m, stack[0], stack[1])) }

// random() -> number: the sequence depends only on the seed, plug-in, phase and message.
func (w *worker) hostRandom(_ api.Memory, stack []uint64) { stack[0] = w.rng.Uint64() }

// store_get(key, size, at, capacity) -> size
func (w *worker) hostStoreGet(m api.Memory, stack []uint64) {
	value, ok := w.tx.Get(w.text(m, stack[0], stack[1]))
	stack[0] = writeResult(m, value, ok, stack[2], stack[3])
}

// store_set(key, size, value, size, ms) -> refusal: the entry expires after ms; 0: never.
func (w *worker) hostStoreSet(m api.Memory, stack []uint64) {
	key, value := w.text(m, stack[0], stack[1]), w.boundedBytes(m, stack[2], stack[3], maxStoreValue)
	stack[0] = w.refuse("store", storeRefusal(w.tx.Set(key, value, durationOfMs(stack[4]))))
}

// store_delete(key, size)
func (w *worker) hostStoreDelete(m api.Memory, stack []uint64) {
	w.tx.Delete(w.text(m, stack[0], stack[1]))
}

// durationOfMs converts a duration that a module passed, clamped to 0..maxMs.
func durationOfMs(ms uint64) time.Duration {
	return time.Duration(min(max(int64(ms), 0), maxMs)) * time.Millisecond
}

// refuse records a refusal, and returns the number that the module receives for it. rules.None is not recorded.
func (w *worker) refuse(what string, why rules.Refusal) uint64 {
	if why != rules.None && len(w.outcome.Refused) < maxRefusals {
		w.outcome.Refused = append(w.outcome.Refused, Refused{truncate(what, maxRefusalText), why})
	}
	return api.EncodeI32(int32(why))
}

// ask merges a request of the answer phase with those made earlier in the call, if the rules allow it.
func (w *worker) ask(what string, more rules.Ask) uint64 {
	if w.call.Phase != Answer {
		return w.refuse(what, rules.Phase)
	}
	asked := w.outcome.Ask
	ask := rules.Ask{RetryAfter: max(asked.RetryAfter, more.RetryAfter), Refuse: asked.Refuse || more.Refuse}
	_, why := rules.Tighten(w.call.Answer, ask, &w.version.host.rules)
	if why == rules.None {
		w.outcome.Ask = ask
	}
	return w.refuse(what, why)
}

// log keeps a line for the relay's log until the call ends. Lines beyond PluginLines are dropped.
func (w *worker) log(text string) {
	if len(w.outcome.Logs) < w.version.host.limits.PluginLines {
		w.outcome.Logs = append(w.outcome.Logs, truncate(text, w.version.host.limits.PluginReason))
	}
}
