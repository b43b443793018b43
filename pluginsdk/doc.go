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
// there are several instances. docs/plugins.md says what each call may do.
package pluginsdk
