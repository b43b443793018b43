package program

// BeginTurn asks to begin a turn: to reserve its budget and to store its input. It is idempotent, also across leaders and
// after the turn has ended: a duplicate of an accepted turn gets the same answer and reserves nothing. A rejection reserves
// nothing and isn't stored, so a retry is decided anew.
type BeginTurn struct {
	Turn       string  `json:"turn"`              // X-Attempt-Id of the attempt
	Program    string  `json:"program,omitempty"` // empty: the turn belongs to no program and has no budget
	Budget     int64   `json:"budget"`            // tokens that all turns of the program together may generate; 0: no limit given
	MaxTokens  int64   `json:"most"`              // upper bound of the tokens that this turn generates; reserved until it ends
	Remembered bool    `json:"remembered,omitempty"`
	Previous   string  `json:"previous,omitempty"` // turn that a remembered one continues; ignored for others
	KeepForS   float64 `json:"keepForS,omitempty"` // retention of a remembered turn after its end, s; at most a day
	Input      []byte  `json:"input,omitempty"`
	Imported   []byte  `json:"imported,omitempty"` // the chain of Previous, where another shard stores it
	AtMs       int64   `json:"atMs"`               // the leader's time of day, ms since 1970
}

// EndTurn commits a turn: its reservation is released and the tokens sent to the client are charged, never less than none
// and never more than were reserved. It is idempotent: the first one wins, duplicates change nothing.
type EndTurn struct {
	Turn     string `json:"turn"`
	Complete bool   `json:"whole"`            // the answer is complete, so that others may continue the turn
	Tokens   int64  `json:"tokens"`           // sent to the client
	Output   []byte `json:"output,omitempty"` // the data of each event, each followed by a line feed
	AtMs     int64  `json:"atMs"`             // the leader's time of day, ms since 1970
}

// Command is one entry of a shard's log; exactly one field is set. Names should be valid UTF-8; other bytes are replaced as
// encoding/json replaces them.
type Command struct {
	Begin *BeginTurn `json:"begin,omitempty"`
	End   *EndTurn   `json:"end,omitempty"`
}

// Verdict is the outcome of a command.
type Verdict string

// The verdicts. Their texts are stored and sent.
const (
	// Accepted says that the turn was begun or ended, by this command or by an earlier duplicate.
	Accepted Verdict = "taken"
	// BudgetExceeded rejects a BeginTurn whose MaxTokens, with what is spent and reserved, exceeds the program's budget. It
	// takes precedence over TurnNotFound.
	BudgetExceeded Verdict = "budget_spent"
	// TurnNotFound rejects a BeginTurn since this shard has no complete turn of the previous one's name.
	TurnNotFound Verdict = "no_such_turn"
	// StorageFull rejects a BeginTurn that no store proposes: the shard's leader is short of memory or disk, and begins no new
	// program.
	StorageFull Verdict = "storage_full"
	// UnknownTurn rejects an EndTurn of a turn that was never begun here or has expired, and one that calls a turn complete
	// which was committed as broken off before: it can't be continued. A command without a turn's name gets it as well.
	UnknownTurn Verdict = "unknown_turn"
)

// Result answers a command.
type Result struct {
	Verdict Verdict `json:"verdict"`
	Chain   []byte  `json:"chain,omitempty"` // with Accepted of a BeginTurn: inputs and outputs of all earlier turns, oldest first
}
