package simulator

import (
	"time"
)

// message is one client's message, from its first submission until it is delivered, abandoned or expired.
type message struct {
	createdAt, deadline time.Duration // in virtual time
	partner             int32
	class               int16
	firstRelay          int32 // the relay that it was first submitted to
	submissions         int16 // to relays so far
	inFlight            int16 // calls to endpoints that are in flight
	executions          int16 // times that it took effect at endpoints
	finished            bool
	mayHaveRun          bool // a call may have taken effect; the first such call was sent at mayHaveRunAt
	mayHaveRunAt        time.Duration
	firstExecutedAt     time.Duration // when it first took effect; 0: it has not
}

// submission is a message as one relay received it. Policies know it by its ID: its index in Run.submissions plus one.
type submission struct {
	message  int32
	relay    int32
	attempts int32 // calls by that relay
	finished bool
}

// generateMessage draws a message and schedules the next draw. It uses a separate generator, so that all policies get the same messages.
func (r *Run) generateMessage() {
	if r.now-clockStart >= time.Duration(r.World.Length) {
		return
	}
	r.schedule(r.now+time.Duration(r.workload.ExpFloat64()*float64(time.Second)/(r.World.Rate*r.surgeFactor)), eventNextMessage, 0, 0)
	partnerDraw := r.workload.Float64() * r.partnerWeights[len(r.partnerWeights)-1]
	low, high := 0, len(r.partnerWeights)-1
	for low < high {
		if m := (low + high) / 2; r.partnerWeights[m] <= partnerDraw {
			low = m + 1
		} else {
			high = m
		}
	}
	total := 0.0
	for _, c := range r.World.Classes {
		total += c.Weight
	}
	class, classDraw := 0, r.workload.Float64()*total
	for classDraw > r.World.Classes[class].Weight && class < len(r.World.Classes)-1 {
		classDraw -= r.World.Classes[class].Weight
		class++
	}
	m := int32(len(r.messages))
	r.messages = append(r.messages, message{createdAt: r.now, deadline: r.now + time.Duration(r.World.Classes[class].Deadline), partner: int32(low), class: int16(class)})
	r.Stats.recordArrival(class)
	r.messages[m].firstRelay = r.drawRelay()
	r.submit(m, r.messages[m].firstRelay)
}

// drawRelay draws the relay that a message is first submitted to. Where Skew is above 1, each of a tenth of the relays, at least one, gets
// Skew times the messages of each other relay; after each SkewRotation the next tenth does.
func (r *Run) drawRelay() int32 {
	n := len(r.relays)
	if r.World.Skew <= 1 {
		return int32(r.workload.IntN(n))
	}
	favored := max(n/10, 1)
	from := 0
	if r.World.SkewRotation > 0 {
		from = int((r.now-clockStart)/time.Duration(r.World.SkewRotation)) * favored % n
	}
	if r.workload.Float64() < r.World.Skew*float64(favored)/(r.World.Skew*float64(favored)+float64(n-favored)) {
		return int32((from + r.workload.IntN(favored)) % n)
	}
	return int32((from + favored + r.workload.IntN(max(n-favored, 1))) % n)
}
