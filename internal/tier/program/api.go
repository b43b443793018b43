// Package program is the state machine of one shard of programs' state: turns with their chains, and budgets. It does no
// I/O and reads no clock; commands carry the time of day at which the owner took them. The same commands in the same
// order give the same results and the same snapshot on every replica.
package program

// BeginTurn asks for a turn to be taken: its budget reserved and its input kept. It may be sent again, also to the next
// owner and after the turn has ended: a turn that was taken gets the same answer and nothing is reserved twice. A refusal
// reserves nothing and isn't remembered, so the same turn is judged anew when it is asked for again.
type BeginTurn struct {
	Turn       string  `json:"turn"`              // X-Attempt-Id of the try
	Program    string  `json:"program,omitempty"` // empty: the turn belongs to no program
	Budget     int64   `json:"budget"`            // tokens that all turns of the program together may generate; 0: none told
	Most       int64   `json:"most"`              // tokens that this turn generates at most
	Remembered bool    `json:"remembered,omitempty"`
	Previous   string  `json:"previous,omitempty"` // turn that a remembered one goes on from; otherwise ignored
	KeepForS   float64 `json:"keepForS,omitempty"`
	Input      []byte  `json:"input,omitempty"`
	Imported   []byte  `json:"imported,omitempty"` // the chain of Previous, when another shard holds it
	AtMs       int64   `json:"atMs"`               // time of day, ms
}

// EndTurn settles a turn: what it reserved is set free and what it handed on is spent, at least nothing and at most what
// was reserved. It may be sent again; the first one wins and later ones change nothing.
type EndTurn struct {
	Turn   string `json:"turn"`
	Whole  bool   `json:"whole"`            // the answer has come whole: the turn counts
	Tokens int64  `json:"tokens"`           // handed on to the client
	Output []byte `json:"output,omitempty"` // the data of each event with a line feed behind
	AtMs   int64  `json:"atMs"`
}

// Command is one entry of a shard's log; one field is set. Names are best valid UTF-8; other bytes are replaced as JSON
// replaces them.
type Command struct {
	Begin *BeginTurn `json:"begin,omitempty"`
	End   *EndTurn   `json:"end,omitempty"`
}

// Verdict is the outcome of a command.
type Verdict string

// The verdicts.
const (
	Taken       Verdict = "taken"
	BudgetSpent Verdict = "budget_spent" // spent, reserved and the turn's most are over the budget; goes before NoSuchTurn
	NoSuchTurn  Verdict = "no_such_turn" // this shard holds no whole turn of that name
	// Unknown answers an EndTurn of a turn that was never begun here or that is no longer held, and one that calls a turn
	// whole although it was settled as broken off before: it doesn't count and can't be gone on from. A command without a
	// turn's name gets it as well.
	Unknown Verdict = "unknown_turn"
)

// Result answers a command.
type Result struct {
	Verdict Verdict `json:"verdict"`
	Chain   []byte  `json:"chain,omitempty"` // with Taken of a BeginTurn: inputs and outputs of all earlier turns
}
