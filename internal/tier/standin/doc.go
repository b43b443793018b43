// Package standin simulates the environment of the tier on loopback, for the demo, the soak and tests: the platform's list of
// endpoints (Platform), endpoints that answer with one body (Plain), model servers that stream events (Engine), and the client
// programs that send them turns and tool calls through a proxy (Program).
//
// Endpoints record each request that they execute in a RunLog, which several may share. Outcome.Check and CheckPrograms
// compare that log with the responses that the programs received, and return a sentence for each broken guarantee: a duplicate
// execution, a request that ran though its status says that it did not, a wrong prompt, a lost turn, an exceeded budget.
//
// Platform, Plain and Engine each own a listener and the goroutine of its HTTP server, both of which end in Close. Their
// methods may be called from several goroutines. Listeners, clocks and dialers are options, so that a simulation can run
// everything on an in-memory network.
package standin
