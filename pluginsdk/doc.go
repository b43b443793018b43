// Package pluginsdk is the SDK for writing mastusher plug-ins in Go. A plug-in registers its handlers in init:
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
// What a handler requests takes effect only when the handler returns. If it panics, exceeds its time limit or runs out of memory,
// nothing is changed. State belongs in the store: variables are lost when an instance is restarted, and are not shared between
// the instances of a plug-in. docs/plugins.md describes what each call may do, and examples/plugins has complete plug-ins.
//
// # When functions may be called
//
// OnArrival, OnAnswer and OnEnd must be called in init. All other functions may only be called while a handler runs. In init there is
// no message yet; a call to the relay ends the instance, and the plug-in is not loaded. A Message, Answer or Ended always refers to
// the call in progress: a value that was kept from an earlier call reads the current message. main is never run.
//
// An instance handles one call at a time: a handler returns before the next one is called. Goroutines that a handler starts must have
// ended when it returns.
//
// # Errors
//
// A function that returns an error has changed nothing. The errors are the Err variables of this package; compare them by errors.Is.
// The relay counts each error as a refused request, except those of RemoveHeader.
//
// # Limits
//
// Limits that are stated in this package are the relay's defaults; sizes are in bytes. A call may take 10 ms, and may pass 256 KB to
// the relay: the sum of all names, values, bodies and texts that it passes to the functions of this package, where each counts with 64
// bytes more and a text with 2 KB at most. A call that exceeds either limit fails.
package pluginsdk
