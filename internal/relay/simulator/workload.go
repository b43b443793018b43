package simulator

import (
	"time"
)

// message is one message of a client, from its first submission until it is delivered, abandoned or expired.
type message struct {
	createdAt, deadline time.Duration // absolute
	partner             int32
	class               int16
	firstRelay          int32 // the relay that it was first submitted to
	submissions         int16 // to relays, so far
	inFlight            int16 // calls at endpoints now
	executions          int16 // times that it took effect at endpoints
	finished            bool
	mayHaveRun          bool // an attempt may have run, the first at mayHaveRunAt
	mayHaveRunAt        time.Duration
	firstExecutedAt     time.Duration // when it took effect first; 0: it has not
}

// submission is a message as one relay has it: its index plus one is the ID that the policy knows.
type submission struct {
	message  int32
	relay    int32
	attempts int32 // attempts by that relay
	finished bool
}

// generateMessage draws a message and the time of the next one. Its draws come from a generator of their own, so that all policies get
// the same messages.
func (r *Run) generateMessage() {
	if r.now-clockStart >= time.Duration(r.World.Length) {
		return
	}
	r.schedule(r.now+time.Duration(r.workload.ExpFloat64()*float64(time.Second)/(r.World.Rate*r.surgeFactor)), eventNextMessage, 0, 0)
	u := r.workload.Float64() * r.partnerWeights[len(r.partnerWeights)-1]
	lo, hi := 0, len(r.partnerWeights)-1
	for lo < hi {
		if m := (lo + hi) / 2; r.partnerWeights[m] <= u {
			lo = m + 1
		} else {
			hi = m
		}
	}
	total := 0.0
	for _, c := range r.World.Classes {
		total += c.Weight
	}
	class, x := 0, r.workload.Float64()*total
	for x > r.World.Classes[class].Weight && class < len(r.World.Classes)-1 {
		x -= r.World.Classes[class].Weight
		class++
	}
	m := int32(len(r.messages))
	r.messages = append(r.messages, message{createdAt: r.now, deadline: r.now + time.Duration(r.World.Classes[class].Deadline), partner: int32(lo), class: int16(class)})
	r.Stats.recordArrival(class)
	r.messages[m].firstRelay = r.drawRelay()
	r.submit(m, r.messages[m].firstRelay)
}

// drawRelay draws the relay that a message is first submitted to. Where traffic is uneven a tenth of the relays, and at least one, gets
// so many times what each of the others gets; each span of SkewRotation it is the next tenth.
func (r *Run) drawRelay() int32 {
	n := len(r.relays)
	if r.World.Skew <= 1 {
		return int32(r.workload.IntN(n))
	}
	hot := max(n/10, 1)
	from := 0
	if r.World.SkewRotation > 0 {
		from = int((r.now-clockStart)/time.Duration(r.World.SkewRotation)) * hot % n
	}
	if r.workload.Float64() < r.World.Skew*float64(hot)/(r.World.Skew*float64(hot)+float64(n-hot)) {
		return int32((from + r.workload.IntN(hot)) % n)
	}
	return int32((from + hot + r.workload.IntN(max(n-hot, 1))) % n)
}
