package program

// Chain is the contents of a turn and of all turns before it, oldest first: inputs and outputs in turn. They belong to the machine and must
// not be modified, but they may be read while the machine goes on, and also after it has removed the turns.
type Chain [][]byte

// Bytes returns the length of the joined chain.
func (c Chain) Bytes() int {
	sum := 0
	for _, part := range c {
		sum += len(part)
	}
	return sum
}

// Join returns the chain in newly allocated memory; nil if it is empty.
func (c Chain) Join() []byte {
	size := c.Bytes()
	if size == 0 {
		return nil
	}
	joined := make([]byte, 0, size)
	for _, part := range c {
		joined = append(joined, part...)
	}
	return joined
}

// UnjoinedResult is a Result whose chain has not been copied.
type UnjoinedResult struct {
	Verdict Verdict
	Chain   Chain
}

// Join returns the result with a copy of the chain.
func (r UnjoinedResult) Join() Result { return Result{Verdict: r.Verdict, Chain: r.Chain.Join()} }
