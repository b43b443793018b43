package balancer

import (
	"slices"
	"time"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/view"
)

// service is the state of one service.
type service struct {
	name            string
	endpoints       []*endpoint // that are on the list
	versions        view.ServiceVersions
	groups          [2]versionGroup // 0: the version in service; 1: the rollout's target
	targetCredit    float64         // attempts that may be sent to the target now; a fraction accrues with each attempt
	targetBonus     float64         // remaining part of view.ServiceVersions.InitialAllowance
	targetRoutes    targetRoutes    // attempts sent to the target, by route
	plans           [callKinds]*callPlan
	work            workEstimator
	budget          retryBudget
	load            serviceLoad
	lastRetryableAt time.Duration // when the last retryable request came
	sawRetryable    bool
	lastAnswerAt    time.Duration // when a call was last answered
	lastRefreshAt   time.Duration // when an attempt was last sent to refresh a table
	lastNonEmptyAt  time.Duration // when the list last had an endpoint of the service
}

// newService returns the state of a service without endpoints.
func newService(name string) *service {
	return &service{name: name, budget: newRetryBudget(), work: newWorkEstimator(), targetRoutes: targetRoutes{}}
}

// plan returns the service's plan for a kind of call, and creates it if necessary.
func (svc *service) plan(kind callKind) *callPlan {
	if svc.plans[kind] == nil {
		svc.plans[kind] = newCallPlan(kind)
	}
	return svc.plans[kind]
}

// setVersions sets the versions of the service. A new target or a new rollout starts without credit.
func (svc *service) setVersions(versions view.ServiceVersions) {
	if versions.Target != svc.versions.Target || versions.Order != svc.versions.Order {
		svc.targetCredit, svc.targetBonus, svc.targetRoutes = 0, versions.InitialAllowance, targetRoutes{}
	}
	svc.versions = versions
}

// regroup divides the listed endpoints into the groups of the versions that take requests. While the version in service is unknown,
// the endpoints take requests only if all have the same version.
func (svc *service) regroup() {
	current, single := svc.versions.Current, true
	if current == "" && len(svc.endpoints) > 0 {
		current = svc.endpoints[0].model.Version
		single = !slices.ContainsFunc(svc.endpoints, func(e *endpoint) bool { return e.model.Version != current })
	}
	for i := range svc.groups {
		svc.groups[i].ready = svc.groups[i].ready[:0]
	}
	for _, e := range svc.endpoints {
		e.ready, e.isTarget = false, false
		if e.model.State != model.Ready || !single {
			continue
		}
		switch e.model.Version {
		case current:
			e.ready = true
			svc.groups[0].ready = append(svc.groups[0].ready, e)
		case svc.versions.Target:
			e.ready, e.isTarget = true, true
			svc.groups[1].ready = append(svc.groups[1].ready, e)
		}
	}
	for i := range svc.groups {
		svc.groups[i].sort()
	}
	svc.groups[1].limitToShare(svc.versions.TrafficShare)
	for _, plan := range svc.plans {
		if plan != nil {
			plan.changed = true
		}
	}
}
