// Package pluginsdk is for the authors of plug-ins for mastusher, in Go. A plug-in registers what it does in init:
//
//	func init() {
//		pluginsdk.OnArrival(func(m pluginsdk.Message) {
//			if len(m.Body()) == 0 {
//				m.Reject(422, "the message is empty")
//			}
//		})
//	}
//
//	func main() {}
//
// and is built with
//
//	GOOS=wasip1 GOARCH=wasm go build -buildmode=c-shared -ldflags=-s -o plugin.wasm .
//
// All that a handler asks for counts only if it returns: of one that panics, runs over its time or has no memory left
// nothing is done. State belongs in the store; what stands in variables is lost when an instance is started anew, and
// there are several instances. docs/plugins.md says what each call may do, and examples/plugins has finished plug-ins.
//
// # When functions may be called
//
// OnArrival, OnAnswer and OnEnd are called in init. All else may be called while a handler runs, and only then: in init
// there is no message yet, and a call to the relay ends the instance, so that the plug-in is not loaded. A Message, Answer or
// Ended stands for the call that is under way; one that was kept from an earlier call reads the message of this one.
// main is never run.
//
// An instance makes one call at a time, and each handler has returned before the next is called. Goroutines that a
// handler starts must have ended when it returns.
//
// # Errors
//
// A function that returns an error has then done nothing. The errors are the Err variables of this package, to be
// compared by errors.Is; the relay counts each of them as refused, but for that of RemoveHeader.
//
// # Limits
//
// They are the relay's defaults. A call has 10 ms, and may hand over 256 KB in all: the sum of all names, values, bodies and
// texts that it passes to the functions here, each counted with 64 bytes more, and of a text 2 KB at most. Beyond either it fails. Sizes are in bytes.
package pluginsdk
