package consensus

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// memberNames are the names of the members' relays by member id. They are encoded in the context of a configuration change.
type memberNames map[uint64]string

// AddLearner proposes to add learner id for the relay called name, and to remove the members in old.
func (e *Engine) AddLearner(id uint64, name string, old []uint64) error {
	return e.proposeConfChange(memberNames{id: name}, raftpb.ConfChangeAddLearnerNode, id, old)
}

// Promote proposes to make learner id, of the relay called name, a voter.
func (e *Engine) Promote(id uint64, name string) error {
	return e.proposeConfChange(memberNames{id: name}, raftpb.ConfChangeAddNode, id, nil)
}

// Remove proposes to remove members.
func (e *Engine) Remove(old []uint64) error { return e.proposeConfChange(nil, 0, 0, old) }

// proposeConfChange proposes to remove the members in old and, unless id is 0, to change member id according to kind. names has the relay's
// name for an added member.
func (e *Engine) proposeConfChange(names memberNames, kind raftpb.ConfChangeType, id uint64, old []uint64) (err error) {
	defer e.recoverPanic(&err)
	change := &raftpb.ConfChangeV2{}
	if change.Context, err = cbor.Marshal(names); err != nil {
		return err
	}
	remove := raftpb.ConfChangeRemoveNode
	for _, removed := range old {
		change.Changes = append(change.Changes, &raftpb.ConfChangeSingle{Type: &remove, NodeId: &removed})
	}
	if id != 0 {
		change.Changes = append(change.Changes, &raftpb.ConfChangeSingle{Type: &kind, NodeId: &id})
	}
	return e.node.ProposeConfChange(change)
}

// toCommitted converts a committed entry. It applies a configuration change to the members.
func (e *Engine) toCommitted(entry *raftpb.Entry) (committed Committed, err error) {
	committed = Committed{Index: entry.GetIndex(), Data: entry.GetData()}
	if entry.GetType() == raftpb.EntryNormal {
		return committed, nil
	}
	change, err := decodeConfChange(entry)
	if err != nil {
		return committed, fmt.Errorf("consensus: members: %w", err)
	}
	e.confState, e.membersChanged = e.node.ApplyConfChange(change), true
	committed.Data, committed.Names = nil, memberNames{}
	_ = cbor.Unmarshal(change.AsV2().GetContext(), &committed.Names) // the entry that leaves a joint configuration has no names
	committed.Members = slices.Concat([]uint64{}, e.confState.GetVoters(), e.confState.GetLearners(), e.confState.GetVotersOutgoing(),
		e.confState.GetLearnersNext())
	return committed, nil
}

// decodeConfChange decodes a configuration change of either format.
func decodeConfChange(entry *raftpb.Entry) (raftpb.ConfChangeI, error) {
	if entry.GetType() == raftpb.EntryConfChange {
		change := &raftpb.ConfChange{}
		return change, proto.Unmarshal(entry.GetData(), change)
	}
	change := &raftpb.ConfChangeV2{}
	return change, proto.Unmarshal(entry.GetData(), change)
}
