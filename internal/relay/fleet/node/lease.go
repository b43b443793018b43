package node

import "time"

// requestLease sends a lease request to the leader, or to a voter that forwards it.
func (n *Node) requestLease() {
	interval := n.config.Lease / requestsPerLease
	if n.now-n.grantedAt > 2*interval && n.requestSeq > 0 && len(n.config.Voters) > 0 {
		n.voterIndex = (n.voterIndex + 1) % len(n.config.Voters)
	}
	if n.leaseUntil-n.now < n.config.Lease/2 {
		interval = min(interval, retryInterval)
	}
	n.nextRequestAt = n.now + interval
	n.requestSeq++
	n.pendingRequests[n.requestSeq] = n.now
	for seq, sentAt := range n.pendingRequests {
		if n.now-sentAt > 2*n.config.Lease {
			delete(n.pendingRequests, seq)
		}
	}
	request := LeaseRequest{From: n.config.Name, Generation: n.config.Generation, Incarnation: n.config.Incarnation, Seq: n.requestSeq,
		Epoch: n.newest.Epoch, Index: n.newest.Index, Verdict: n.changeVerdict}
	if n.lessee != nil {
		request.QuotaRequest = n.lessee.NextRequest(n.now, n.config.Zone)
	}
	if n.newest.Halted() && n.haltedFor >= n.newest.Change.Version {
		request.Stopped = n.haltedFor
	}
	if n.engine != nil {
		request.Member = n.engine.ID
		position := n.engine.Position()
		request.Term, request.LastIndex = position.Term, position.LastIndex
		record := request // for the voters that only remember the log position
		record.Forwarded, record.QuotaRequest = true, nil
		for _, name := range n.config.Voters { // more voters than the leader must remember the log position
			n.send(name, &Message{LeaseRequest: &record})
		}
		if n.engine.IsLeader() && !n.probation {
			n.handleLeaseRequest(n.config.Name, &request)
			return
		}
		if leader := n.applied.Members[n.engine.Leader()]; leader != "" && n.now-n.grantedAt <= 2*interval {
			n.send(leader, &Message{LeaseRequest: &request})
			return
		}
	}
	if len(n.config.Voters) > 0 {
		n.send(n.config.Voters[n.voterIndex], &Message{LeaseRequest: &request})
	}
}

// raiseGeneration starts a new incarnation with a generation above newest, the highest that the leader knows for this relay's name: a lost
// or restored folder has too low a generation. It does so at most twice, since two relays with one name would raise theirs in turn for
// ever.
func (n *Node) raiseGeneration(newest uint64) {
	if n.generationRaises++; n.generationRaises > 2 {
		if n.generationRaises == 3 {
			n.log("another relay uses this relay's name", "relay", n.config.Name, "generation", newest)
		}
		return
	}
	n.config.Generation, n.config.Incarnation = newest+1, n.random()|1
	clear(n.pendingRequests)
	n.nextRequestAt = n.now
	n.emit(Action{Generation: n.config.Generation})
}

// handleLeaseGrant accepts a lease. It counts from when its request was sent and is shortened by MaxClockDrift, so that it always ends
// before the leader considers it expired.
func (n *Node) handleLeaseGrant(from string, grant *LeaseGrant) {
	sentAt, ok := n.pendingRequests[grant.Seq]
	if !ok || grant.Generation != n.config.Generation || grant.Incarnation != n.config.Incarnation {
		return // for a former incarnation, or a request that was answered before
	}
	n.grantedAt, n.leader, n.progress = n.now, from, grant.Progress
	if grant.State != nil {
		n.adoptState(grant.State)
	}
	if grant.NewestGeneration >= n.config.Generation {
		n.raiseGeneration(grant.NewestGeneration)
	}
	if n.rejected = grant.Rejected; grant.Rejected != "" || grant.Lease <= 0 {
		return
	}
	delete(n.pendingRequests, grant.Seq)
	n.leaseIndex = max(n.leaseIndex, grant.Index)
	until := sentAt + time.Duration(float64(grant.Lease)*(1-n.config.MaxClockDrift))
	if n.lessee != nil && grant.QuotaGrant != nil {
		if lease := n.lessee.HandleGrant(until, grant.QuotaGrant); lease != nil {
			n.emit(Action{Lease: lease})
		}
		if grant.QuotaGrant.ReportLeased {
			n.nextRequestAt = min(n.nextRequestAt, n.now+rebroadcastInterval)
		}
	}
	n.leaseUntil = max(n.leaseUntil, until)
}
