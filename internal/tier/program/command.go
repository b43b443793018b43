package program

// BeginTurn begins a turn: its budget is reserved and its input stored. It is idempotent, also across leaders and after the turn
// has ended: a duplicate of an accepted turn gets the same result and reserves nothing. A rejection reserves nothing and isn't
// stored, so a retry is decided anew.
type BeginTurn struct {
	Turn       string  `json:"turn"`                 // the attempt's X-Attempt-Id
	Program    string  `json:"program,omitempty"`    // empty: the turn belongs to no program and has no budget
	Budget     int64   `json:"budget"`               // tokens that all turns of the program together may generate; 0: no limit given
	MaxTokens  int64   `json:"most"`                 // upper bound of the tokens that this turn generates; reserved until it ends
	Remembered bool    `json:"remembered,omitempty"` // its input and output are stored, so that other turns can continue it
	Previous   string  `json:"previous,omitempty"`   // turn that this one continues; ignored unless Remembered
	KeepForS   float64 `json:"keepForS,omitempty"`   // retention of a remembered turn after its end, in seconds; at most a day
	Input      []byte  `json:"input,omitempty"`
	Imported   []byte  `json:"imported,omitempty"` // the chain of Previous, if another shard stores it
	AtMs       int64   `json:"atMs"`               // the leader's wall-clock time, Unix ms
	// TimeLeftMs is the time within which the turn ends if it ends completely; 0: unknown. Earlier proxies don't tell it.
	TimeLeftMs int64 `json:"timeLeftMs,omitempty"`
}

// EndTurn commits a turn: its reservation is released and the tokens sent to the client are charged, at least 0 and at most those
// reserved. It is idempotent: the first one wins, duplicates change nothing.
type EndTurn struct {
	Turn     string `json:"turn"`
	Complete bool   `json:"whole"`            // the output is complete, so that others may continue the turn
	Tokens   int64  `json:"tokens"`           // sent to the client
	Output   []byte `json:"output,omitempty"` // the data of each event sent to the client, each followed by a line feed
	AtMs     int64  `json:"atMs"`             // the leader's wall-clock time, Unix ms
}

// Command is one entry of a shard's log; exactly one field is set. Names should be valid UTF-8; invalid bytes are replaced as
// encoding/json replaces them.
type Command struct {
	Begin *BeginTurn `json:"begin,omitempty"`
	End   *EndTurn   `json:"end,omitempty"`
}

// Verdict is the outcome of a command.
type Verdict string

// The verdicts. Their texts are part of the stored format and the wire format.
const (
	// Accepted says that the turn was begun or ended, by this command or by an earlier duplicate.
	Accepted Verdict = "taken"
	// BudgetExceeded rejects a BeginTurn whose MaxTokens, together with the tokens spent and reserved, exceed the program's
	// budget. It takes precedence over TurnNotFound.
	BudgetExceeded Verdict = "budget_spent"
	// TurnNotFound rejects a BeginTurn whose Previous names no complete turn of this shard and that imports no chain.
	TurnNotFound Verdict = "no_such_turn"
	// StorageFull rejects a command that the shard's leader doesn't propose, since it is short of memory or disk: a BeginTurn of a new
	// program, one with a large input, or an EndTurn with a large output.
	StorageFull Verdict = "storage_full"
	// UnknownTurn rejects an EndTurn of a turn that was never begun in this shard or has expired. It also rejects one that is
	// Complete if the turn was committed as incomplete before and so can't be continued, and commands without a turn's name.
	UnknownTurn Verdict = "unknown_turn"
)

// Result is the result of a command.
type Result struct {
	Verdict Verdict `json:"verdict"`
	Chain   []byte  `json:"chain,omitempty"` // of an accepted BeginTurn: inputs and outputs of all turns before it, oldest first
}
