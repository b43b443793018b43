package controller

import (
	"net/http"
	"strings"
	"time"
)

// verify judges what the callers got.
func (s *scenario) verify(victim int, how partitionKind) {
	leader := s.core.machines[s.core.leader()].controller
	faults := s.history.verify(leader.state.configuration)
	const limit = 5
	for _, fault := range faults[:min(limit, len(faults))] {
		s.t.Error(fault)
	}
	if len(faults) > limit {
		s.t.Errorf("and %d more", len(faults)-limit)
	}
	s.checkRedirects(victim, how)
	s.checkAnswered(how)
	s.checkServes(victim, how)
	s.t.Logf("%d configurations were taken; %s", len(s.history.chain), s.history.counts())
}

// checkRedirects checks that nobody is sent to a machine that is out of reach, and that such a machine sends nobody on: from
// an election time-out on by members, which have heard nothing for so long, and by others from when membership notices.
func (s *scenario) checkRedirects(victim int, how partitionKind) {
	if how != fromAll && how != frozenMachine {
		return
	}
	// What came in before the partition is heard in the next turn, which may have to wait for the disk.
	slack := 4*coreLatency + 2*s.core.kind.slowDisk
	control := s.core.machines[victim].member.Control
	for _, a := range s.history.answers {
		for _, hop := range a.redirects {
			known := s.began.Add(electionTimeout + slack)
			if hop.from >= s.core.kind.group {
				known = s.began.Add(failureDetectionTime + slack)
			}
			if hop.at.Before(known) || hop.at.After(s.ended) {
				continue
			}
			if strings.Contains(hop.to, control) || hop.from == victim && how == fromAll {
				s.t.Errorf("core-%d sends to %s %v after core-%d was partitioned", hop.from+1, hop.to, hop.at.Sub(s.began), victim+1)
			}
		}
	}
}

// checkServes checks that those that aren't partitioned tell the configuration during the partition, and all of them after it, and that
// orders are taken in both times.
func (s *scenario) checkServes(victim int, how partitionKind) {
	during, after := s.served(s.began.Add(serviceRestoredIn), s.ended), s.served(s.ended.Add(serviceRestoredIn), time.Now())
	for _, m := range s.core.machines {
		if m.number != victim && how != allFromEachOther && !s.isPartitionedFromLeader(m.number, victim, how) && !during.answered[m.number] {
			s.t.Errorf("core-%d told nothing while core-%d was partitioned", m.number+1, victim+1)
		}
		if !after.answered[m.number] {
			s.t.Errorf("core-%d told nothing after the partition", m.number+1)
		}
	}
	if how != allFromEachOther && during.accepted == 0 || after.accepted == 0 {
		s.t.Errorf("%d orders were taken during the partition, %d after it", during.accepted, after.accepted)
	}
}

// checkAnswered checks that callers aren't left without an answer within their time-out, except by a machine that is frozen.
func (s *scenario) checkAnswered(how partitionKind) {
	for _, a := range s.history.answers {
		if a.code == 0 && how != frozenMachine {
			s.t.Errorf("%s %s at core-%d from %v: no answer", a.method, a.path, a.first+1, a.began.Sub(s.began))
		}
	}
}

// service is what was served in some time.
type service struct {
	answered map[int]bool // whether the configuration was told, by the machine that was called
	accepted int          // configurations
}

func (s *scenario) served(from, to time.Time) service {
	served := service{answered: map[int]bool{}}
	for _, a := range s.history.answers {
		switch {
		case a.path != settingsPath || a.code != http.StatusOK || a.began.Before(from) || a.ended.After(to):
		case a.method == http.MethodGet:
			served.answered[a.first] = true
		default:
			served.accepted++
		}
	}
	return served
}

// isPartitionedFromLeader tells whether a member hears nothing of a leader that all others hear: it can't be elected, and answers 503.
func (s *scenario) isPartitionedFromLeader(number, victim int, how partitionKind) bool {
	return how == fromOne && s.leaderBefore == victim && number == s.peer
}
