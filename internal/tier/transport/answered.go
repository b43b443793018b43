package transport

import "context"

// answeredKey is the key of a call's answeredHooks in the context of its handler.
type answeredKey struct{}

// answeredHooks are functions that run once a call's answer has been encoded. They belong to the goroutine of the handler.
type answeredHooks struct{ functions []func() }

// run runs the functions.
func (h *answeredHooks) run() {
	for _, function := range h.functions {
		function()
	}
}

// OnAnswered makes a function run once the answer of the call that a handler serves has been encoded, or the call has failed. ctx is the
// handler's, and the function must be set in its goroutine. Outside of a call the function runs at once.
func OnAnswered(ctx context.Context, function func()) {
	hooks, ok := ctx.Value(answeredKey{}).(*answeredHooks)
	if !ok {
		function()
		return
	}
	hooks.functions = append(hooks.functions, function)
}
