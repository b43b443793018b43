package control

// applyOutcome handles the outcome of an attempt: it releases the attempt's place in its call, records the outcome, and then closes the
// message or queues it for another attempt. It ignores an outcome of an attempt that is not in flight.
func (s *Sender) applyOutcome(event *Event) {
	msg := s.messages[event.ID]
	if msg == nil || msg.inFlightOn == nil || event.Attempt != msg.attempts-1 {
		return
	}
	endpoint := msg.inFlightOn
	s.endAttempt(msg, endpoint)
	s.recordOutcome(msg, endpoint, event)
	s.releaseConnection(endpoint)
	neverRan := event.Result.NeverRan()
	if !neverRan && event.Result != Delivered && msg.ranOn == nil {
		msg.ranAt, msg.ranOn = msg.sentAt, endpoint
	}
	inDoubt := !neverRan && event.Result != Delivered && event.Result != Errored
	if queue := s.keyQueues[msg.key]; queue != nil && msg.class.InOrder && inDoubt {
		queue.blockedUntil = s.now + s.settings.InDoubtDelay
	}
	if answered := event.Final || event.Result == Delivered || msg.ended; answered || event.Result == Rejected {
		if !answered {
			s.emit(Action{Kind: Fail, ID: msg.id})
		}
		s.closeMessage(msg)
		return
	}
	msg.isRetry = !neverRan
	if msg.attempts >= s.settings.MaxAttempts || msg.ranOn != nil && msg.class.Effect == Unsafe || s.outOfTime(msg) {
		s.finish(msg)
		return
	}
	msg.destination.queue = append(msg.destination.queue, msg)
}

// endAttempt removes msg's attempt from those in flight, and frees the call's slot if no other message of the call is pending.
func (s *Sender) endAttempt(msg *message, endpoint *endpointState) {
	msg.inFlightOn = nil
	endpoint.inFlight = removeMessage(endpoint.inFlight, msg)
	endpoint.route.inFlight--
	if msg.call.pending--; msg.call.pending == 0 {
		s.slotsInUse--
		endpoint.destination.callsInFlight--
	}
}

// recordOutcome updates the latency tables, and the limit and health of the route, with an outcome.
func (s *Sender) recordOutcome(msg *message, endpoint *endpointState, event *Event) {
	route, took := endpoint.route, (s.now - msg.sentAt).Seconds()
	if msg.plannedTime > 0 && (event.Result == Delivered || event.Result == TimedOut) {
		s.observeRetry(took, msg.plannedTime)
	}
	endpoint.destination.poolStale = true
	if event.Reported && event.Limit > 0 {
		s.applyReport(route, event)
	}
	s.kinds[endpoint.kindIndex].learnRetryGap(msg, event.Result)
	switch event.Result {
	case Delivered:
		s.recordDelivery(msg, endpoint, took)
	case NotProcessed, Cancelled: // these say nothing about the route
	case Rejected: // the route answers, so it is up
		s.recordSuccess(route)
	case Malformed: // the route answers, and the time is that of a normal call
		endpoint.own.observe(s.now, s.bounds, took)
		endpoint.destination.latencies.observe(s.now, s.bounds, took)
		route.newestDelivered = max(route.newestDelivered, msg.sentAt)
		s.recordSuccess(route)
	case Throttled:
		s.recordThrottling(endpoint, event)
	case TimedOut:
		endpoint.own.observeCensored(s.now, s.bounds, took)
		endpoint.destination.latencies.observeCensored(s.now, s.bounds, took)
		if took >= s.lateAge(endpoint) {
			route.failureStreak++
			s.recordFailure(route, false)
		}
	case NoConnection:
		s.recordNoConnection(endpoint, took)
	case Reset: // concerns one connection: if the destination is down, later calls fail to connect or are reset too
		s.observeFailure(endpoint)
		if route.resetStreak++; route.resetStreak >= ejectionResets {
			route.failureStreak++
			s.recordFailure(route, false)
		}
	default:
		s.observeFailure(endpoint)
		route.failureStreak++
		s.recordFailure(route, false)
	}
}

func (s *Sender) recordDelivery(msg *message, endpoint *endpointState, took float64) {
	route := endpoint.route
	// If an earlier attempt may have run, the endpoint may answer this one without doing the work again. So answers faster than the
	// 10th percentile are not counted as call times.
	if msg.ranOn == nil || took >= endpoint.pooled.quantile(s.bounds, 0.1) {
		endpoint.own.observe(s.now, s.bounds, took)
		endpoint.destination.latencies.observe(s.now, s.bounds, took)
		s.allLatencies.observe(s.now, s.bounds, took)
	}
	route.newestDelivered = max(route.newestDelivered, msg.sentAt)
	route.deliveries.add(s.now)
	s.earnRetry()
	s.recordSuccess(route)
}

func (s *Sender) recordThrottling(endpoint *endpointState, event *Event) {
	route := endpoint.route
	if route.waitUntil = max(route.waitUntil, s.now+event.RetryAfter); event.RetryAfter > 0 {
		route.lastWait = min(event.RetryAfter, outageRetryAfter) // other senders were probably asked for the same wait
		for _, sibling := range endpoint.destination.endpoints {
			if sibling.route == route {
				s.recallCalls(sibling)
			}
		}
	}
	s.decreaseLimit(route, &s.kinds[endpoint.kindIndex])
	s.recordFailure(route, true)
}

// recordNoConnection handles a failed connect. One that fails immediately may only mean a full connection table, so a single one is weak
// evidence of an outage.
func (s *Sender) recordNoConnection(endpoint *endpointState, took float64) {
	route, immediate := endpoint.route, took < minLateAge
	endpoint.own.observeFailure(s.now)
	if route.failureStreak++; immediate {
		s.recordConnectionShortage(endpoint)
		s.backOff(route, &s.kinds[endpoint.kindIndex])
	}
	s.recordFailure(route, immediate)
	route.neverRan = true
}

func (s *Sender) observeFailure(endpoint *endpointState) {
	endpoint.own.observeFailure(s.now)
	endpoint.destination.latencies.observeFailure(s.now)
}
