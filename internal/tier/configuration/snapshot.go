package configuration

// Snapshot is the complete state as it is stored.
type Snapshot struct {
	Current     Current     `json:"current"`
	HistoryBase uint64      `json:"oldest,omitempty"` // number that the first entry of History builds on
	History     []byte      `json:"history"`          // accepted proposals, the oldest first, as numbers and fingerprints
	Rejected    []Rejection `json:"refused,omitempty"`
}

// Rejection is a rejected proposal as it is stored.
type Rejection struct {
	Base        uint64 `json:"base"`
	Fingerprint []byte `json:"fingerprint"`
}

// Snapshot returns the complete state.
func (s *StateMachine) Snapshot() Snapshot {
	snapshot := Snapshot{Current: s.current, HistoryBase: s.history.base, History: s.history.encode()}
	for _, r := range s.rejected {
		snapshot.Rejected = append(snapshot.Rejected, Rejection{Base: r.base, Fingerprint: r.digest[:]})
	}
	return snapshot
}

// Restore returns the state machine of a snapshot, or an ErrCorruptHistory if its history can't be decoded.
func Restore(snapshot Snapshot) (*StateMachine, error) {
	s := &StateMachine{current: snapshot.Current}
	var err error
	if s.history, err = decodeHistory(snapshot.HistoryBase, snapshot.History); err != nil {
		return nil, err
	}
	for _, r := range snapshot.Rejected {
		restored := rejection{base: r.Base}
		copy(restored.digest[:], r.Fingerprint)
		s.rejected = append(s.rejected, restored)
	}
	return s, nil
}
