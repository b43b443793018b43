package replica

import (
	"bytes"
	"fmt"
)

func cloneRecovered(r Recovered) Recovered {
	r.Entries = append([]Entry(nil), r.Entries...)
	return r
}

// withoutStates returns what a member recovers from a disk: the snapshot's state is left out, as it goes to the state
// machine.
func withoutStates(r Recovered) Recovered {
	r = cloneRecovered(r)
	if r.Snapshot != nil {
		r.Snapshot = withoutState(r.Snapshot)
	}
	return r
}

// save applies the given number of first writes of a Ready to a disk.
func save(disk Recovered, ready Ready, writes int) Recovered {
	take := func(needed bool) bool {
		if !needed || writes == 0 {
			return false
		}
		writes--
		return true
	}
	if take(ready.HardState != nil) {
		disk.HardState = *ready.HardState
	}
	if take(ready.Snapshot != nil) {
		disk.Snapshot, disk.Entries = ready.Snapshot, nil
	}
	if take(ready.TruncateFrom > 0) {
		remaining := 0
		for remaining < len(disk.Entries) && disk.Entries[remaining].Index < ready.TruncateFrom {
			remaining++
		}
		disk.Entries = disk.Entries[:remaining:remaining]
	}
	for _, entry := range ready.Entries {
		if take(true) {
			disk.Entries = append(disk.Entries, entry)
		}
	}
	return disk
}

// snapshotChunks is the number of chunks of each snapshot in simulations.
const snapshotChunks = 3

// chunkOf returns one chunk of a state.
func chunkOf(state []byte, number int) []byte {
	return state[len(state)*number/snapshotChunks : len(state)*(number+1)/snapshotChunks]
}

// addChunk adds the chunk's data from the sender's disk to an InstallSnapshot message. It returns false if the disk does not
// hold that snapshot any more.
func addChunk(message *Message, disk Recovered) bool {
	if message.Kind != InstallSnapshot {
		return true
	}
	if disk.Snapshot == nil || disk.Snapshot.Index != message.Snapshot.Index {
		return false
	}
	snapshot := *message.Snapshot
	snapshot.State = chunkOf(disk.Snapshot.State, message.Chunk)
	message.Snapshot = &snapshot
	return true
}

// receiveChunks appends received chunks to the earlier ones, and fills in the state of a snapshot that is installed. The
// returned chunks are not synced and are lost in a crash. The returned text describes an error in the chunks, or is empty.
func receiveChunks(incoming [][]byte, ready *Ready) (chunks [][]byte, problem string) {
	chunks = incoming[:len(incoming):len(incoming)]
	for _, chunk := range ready.ReceivedChunks {
		if chunk.Number == 0 {
			chunks = nil
		}
		if chunk.Number != len(chunks) {
			return chunks, fmt.Sprintf("chunk %d is received after %d chunks", chunk.Number, len(chunks))
		}
		chunks = append(chunks, chunk.Data)
	}
	if ready.Snapshot == nil {
		return chunks, ""
	}
	if len(chunks) != ready.Snapshot.Chunks {
		return chunks, fmt.Sprintf("a snapshot of %d chunks is installed after %d chunks were received", ready.Snapshot.Chunks, len(chunks))
	}
	complete := *ready.Snapshot
	complete.State = bytes.Join(chunks, nil)
	ready.Snapshot = &complete
	return nil, ""
}

func countWrites(ready Ready) int {
	writes := len(ready.Entries)
	if ready.HardState != nil {
		writes++
	}
	if ready.Snapshot != nil {
		writes++
	}
	if ready.TruncateFrom > 0 {
		writes++
	}
	return writes
}
