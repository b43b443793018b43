package controller

import (
	"net/http"
	"strings"
	"time"
)

// verify checks the results of all calls.
func (s *scenario) verify(victim int, partition partitionKind) {
	leader := s.cluster.machines[s.cluster.leader()].controller
	violations := s.history.verify(leader.state.configuration)
	const limit = 5
	for _, violation := range violations[:min(limit, len(violations))] {
		s.t.Error(violation)
	}
	if len(violations) > limit {
		s.t.Errorf("and %d more violations", len(violations)-limit)
	}
	s.checkRedirects(victim, partition)
	s.checkAllResponded(partition)
	s.checkServes(victim, partition)
	s.t.Logf("%d configurations were accepted; %s", len(s.history.chain), s.history.counts())
}

// checkRedirects checks that nobody redirects to an unreachable machine, and that such a machine doesn't redirect: for members from an
// election time-out after the start of the partition, for the standby from when membership detects the partition.
func (s *scenario) checkRedirects(victim int, partition partitionKind) {
	if partition != fromAll && partition != frozenMachine {
		return
	}
	// Messages from before the partition are handled in the group's next iteration, which may have to wait for the disk.
	slack := 4*linkLatency + 2*s.cluster.kind.slowDisk
	control := s.cluster.machines[victim].member.Control
	for _, a := range s.history.results {
		for _, hop := range a.redirects {
			known := s.began.Add(electionTimeout + slack)
			if hop.from >= s.cluster.kind.group {
				known = s.began.Add(failureDetectionTime + slack)
			}
			if hop.at.Before(known) || hop.at.After(s.ended) {
				continue
			}
			if strings.Contains(hop.to, control) || hop.from == victim && partition == fromAll {
				s.t.Errorf("core-%d redirects to %s %v after core-%d was partitioned", hop.from+1, hop.to, hop.at.Sub(s.began), victim+1)
			}
		}
	}
}

// checkServes checks that machines that aren't partitioned return the configuration during the partition, all machines after it, and
// that configurations are accepted during and after it.
func (s *scenario) checkServes(victim int, partition partitionKind) {
	during, after := s.served(s.began.Add(serviceRestoredIn), s.ended), s.served(s.ended.Add(serviceRestoredIn), time.Now())
	for _, m := range s.cluster.machines {
		if m.number != victim && partition != allFromEachOther && !s.isPartitionedFromLeader(m.number, victim, partition) && !during.answered[m.number] {
			s.t.Errorf("core-%d didn't return the configuration while core-%d was partitioned", m.number+1, victim+1)
		}
		if !after.answered[m.number] {
			s.t.Errorf("core-%d didn't return the configuration after the partition", m.number+1)
		}
	}
	if partition != allFromEachOther && during.accepted == 0 || after.accepted == 0 {
		s.t.Errorf("%d configurations were accepted during the partition, %d after it", during.accepted, after.accepted)
	}
}

// checkAllResponded checks that each call gets a response within its time-out, unless a machine is frozen.
func (s *scenario) checkAllResponded(partition partitionKind) {
	for _, a := range s.history.results {
		if a.code == 0 && partition != frozenMachine {
			s.t.Errorf("%s %s at core-%d, %v after the start of the partition: no response", a.method, a.path, a.first+1, a.began.Sub(s.began))
		}
	}
}

// service counts successful configuration requests within a time.
type service struct {
	answered map[int]bool // whether the configuration was returned, by the machine that was called first
	accepted int          // number of accepted configurations
}

func (s *scenario) served(from, to time.Time) service {
	served := service{answered: map[int]bool{}}
	for _, a := range s.history.results {
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

// isPartitionedFromLeader reports whether the member is partitioned from a leader that all others reach: it can't be elected, and
// responds with 503.
func (s *scenario) isPartitionedFromLeader(number, victim int, partition partitionKind) bool {
	return partition == fromOne && s.leaderBefore == victim && number == s.peer
}
