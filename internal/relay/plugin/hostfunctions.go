package plugin

import (
	"net/textproto"
	"time"

	"github.com/tetratelabs/wazero/api"

	"mastusher/internal/relay/plugin/rules"
)

// hostFunction is one import of ABI 2 that a module may have. do takes its parameters from the stack and leaves its
// result there.
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

// maxMs is the longest time that a module may hand over, in ms: some 35 years, which fit a time.Duration.
const maxMs = 1 << 40

// maxStoreValue is more than the value of a store may have, in bytes.
const maxStoreValue = 8 << 10

// Bounds of what is noted of refusals in one call.
const (
	maxRefusals    = 16
	maxRefusalText = 80 // bytes
)

// Statuses that a module may not reject with: they ask the client to send the message again.
const (
	statusRequestTimeout  = 408
	statusTooManyRequests = 429
)

// hostFunctions are all imports of ABI 2. In their comments at and size are a place and a length in the module's memory,
// and capacity is how many bytes may be written there; what does not lie inside the memory traps. A result below 0 is a refusal of
// package rules.
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

// get(field, at, capacity) -> size: writes as much of a field as fits, and returns its whole size.
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

// get_header(name, size, at, capacity) -> size: of the client's request on arrival, of the answer afterwards.
func (w *worker) hostGetHeader(m api.Memory, stack []uint64) {
	values := w.call.In[textproto.CanonicalMIMEHeaderKey(w.text(m, stack[0], stack[1]))]
	value, ok := "", len(values) > 0
	if ok {
		value = values[0]
	}
	stack[0] = writeResult(m, value, ok, stack[2], stack[3])
}

// out_header(name, size, at, capacity) -> size: as it will go out, as far as it has been set.
func (w *worker) hostOutHeader(m api.Memory, stack []uint64) {
	value, ok := w.outcome.Shape.Get(w.text(m, stack[0], stack[1]))
	stack[0] = writeResult(m, value, ok, stack[2], stack[3])
}

// set_header(name, size, value, size) -> refusal
func (w *worker) hostSetHeader(m api.Memory, stack []uint64) {
	name, value := w.text(m, stack[0], stack[1]), w.text(m, stack[2], stack[3])
	why := rules.Phase
	if w.call.Phase == Arrival {
		w.outcome.Shape, why = w.outcome.Shape.Set(w.call.guard, &w.version.host.rules, name, value)
	}
	stack[0] = w.refuse("header "+name, why)
}

// remove_header(name, size) -> refusal. To remove what is not there is no offence, and is not noted.
func (w *worker) hostRemoveHeader(m api.Memory, stack []uint64) {
	why := rules.Phase
	if w.call.Phase == Arrival {
		w.outcome.Shape, why = w.outcome.Shape.Remove(w.text(m, stack[0], stack[1]))
	}
	stack[0] = api.EncodeI32(int32(why))
}

// set_body(at, size) -> refusal
func (w *worker) hostSetBody(m api.Memory, stack []uint64) {
	limits := &w.version.host.rules
	body, why := w.boundedBytes(m, stack[0], stack[1], limits.BodySize+1), rules.Phase
	if w.call.Phase == Arrival {
		if why = rules.Rewrite(w.call.guard, limits, w.call.Body, body); why == rules.None {
			w.outcome.Body = append([]byte{}, body...)
		}
	}
	stack[0] = w.refuse("body", why)
}

// reject(status, reason, size) -> refusal: the message is not taken on, and its client told so.
func (w *worker) hostReject(m api.Memory, stack []uint64) {
	reason, why := w.text(m, stack[1], stack[2]), rules.None
	switch status := api.DecodeI32(stack[0]); {
	case w.call.Phase != Arrival:
		why = rules.Phase
	case status < 400 || status > 499 || status == statusTooManyRequests || status == statusRequestTimeout:
		why = rules.Looser // a refusal is the module's to give
	default:
		w.outcome.Reject, w.outcome.Status = true, int(status)
		w.outcome.Reason = truncate(reason, w.version.host.limits.PluginReason)
	}
	stack[0] = w.refuse("reject", why)
}

// wait(ms) -> refusal: nothing goes to this destination's partner for at least so long.
func (w *worker) hostWait(_ api.Memory, stack []uint64) {
	stack[0] = w.ask("wait", rules.Ask{RetryAfter: durationOfMs(stack[0])})
}

// refuse() -> refusal: the message is given up for good.
func (w *worker) hostRefuse(_ api.Memory, stack []uint64) {
	stack[0] = w.ask("refuse", rules.Ask{Refuse: true})
}

// log(at, size)
func (w *worker) hostLog(m api.Memory, stack []uint64) { w.log(w.text(m, stack[0], stack[1])) }

// random() -> number, the same for the same seed, plug-in, phase and message
func (w *worker) hostRandom(_ api.Memory, stack []uint64) { stack[0] = w.rng.Uint64() }

// store_get(key, size, at, capacity) -> size
func (w *worker) hostStoreGet(m api.Memory, stack []uint64) {
	value, ok := w.tx.Get(w.text(m, stack[0], stack[1]))
	stack[0] = writeResult(m, value, ok, stack[2], stack[3])
}

// store_set(key, size, value, size, ms) -> refusal: for so long, or with 0 for good
func (w *worker) hostStoreSet(m api.Memory, stack []uint64) {
	key, value := w.text(m, stack[0], stack[1]), w.boundedBytes(m, stack[2], stack[3], maxStoreValue)
	stack[0] = w.refuse("store", storeRefusal(w.tx.Set(key, value, durationOfMs(stack[4]))))
}

// store_delete(key, size)
func (w *worker) hostStoreDelete(m api.Memory, stack []uint64) {
	w.tx.Delete(w.text(m, stack[0], stack[1]))
}

// durationOfMs is a time that a module hands over, within what there may be.
func durationOfMs(ms uint64) time.Duration {
	return time.Duration(min(max(int64(ms), 0), maxMs)) * time.Millisecond
}

// refuse notes what was not done, and returns the module's number for it.
func (w *worker) refuse(what string, why rules.Refusal) uint64 {
	if why != rules.None && len(w.outcome.Refused) < maxRefusals {
		w.outcome.Refused = append(w.outcome.Refused, Refused{truncate(what, maxRefusalText), why})
	}
	return api.EncodeI32(int32(why))
}

// ask notes what an answer's phase wants, if it may have it.
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

// log keeps a line for the relay's log.
func (w *worker) log(text string) {
	if len(w.outcome.Logs) < w.version.host.limits.PluginLines {
		w.outcome.Logs = append(w.outcome.Logs, truncate(text, w.version.host.limits.PluginReason))
	}
}
