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
	endpoints       []*endpoint // on the list
	versions        view.ServiceVersions
	groups          [2]versionGroup // the version in service, and the rollout's target
	targetCredit    float64         // attempts that the target may get now
	targetBonus     float64         // attempts above its share that the target may still get
	targetRoutes    targetRoutes    // what the target has got
	plans           [callKinds]*callPlan
	work            workEstimator
	budget          retryBudget
	load            serviceLoad
	lastRetryableAt time.Duration // when a retryable request last came
	sawRetryable    bool
	lastNonEmptyAt  time.Duration // when the list last named an endpoint of it
}

// newService returns the state of a service without endpoints.
func newService(name string) *service {
	return &service{name: name, budget: newRetryBudget(), work: newWorkEstimator(), targetRoutes: targetRoutes{}}
}

// plan returns the service's plan for a kind of call, which it creates if necessary.
func (svc *service) plan(kind callKind) *callPlan {
	if svc.plans[kind] == nil {
		svc.plans[kind] = newCallPlan(kind)
	}
	return svc.plans[kind]
}

// setVersions takes the versions of the service. Another target or another rollout starts without credit.
func (svc *service) setVersions(versions view.ServiceVersions) {
	if versions.Target != svc.versions.Target || versions.Order != svc.versions.Order {
		svc.targetCredit, svc.targetBonus, svc.targetRoutes = 0, versions.InitialAllowance, targetRoutes{}
	}
	svc.versions = versions
}

// regroup sorts the listed endpoints into the groups of versions that take requests. As long as the versions in service are
// unknown, all endpoints take requests if they are of one version; otherwise none does.
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
		e.ready, e.ofTarget = false, false
		if e.model.State != model.Ready || !single {
			continue
		}
		switch e.model.Version {
		case current:
			e.ready = true
			svc.groups[0].ready = append(svc.groups[0].ready, e)
		case svc.versions.Target:
			e.ready, e.ofTarget = true, true
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
