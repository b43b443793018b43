package activitypub

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/url"
	"sync"
	"time"

	"github.com/tidwall/gjson"

	"mastusher/control"
	"mastusher/internal/relay/engine"
)

// end is how a message ended, to answer for when it comes again.
type end struct {
	delivered bool
	ranAt     time.Time // zero: it never ran
}

// Notify posts to each client the one final answer to what it handed in. A client that refuses it for good
// has had it.
func (f *Front) Notify(ctx context.Context, notices []engine.Notice) []bool {
	taken := make([]bool, len(notices))
	room := make(chan struct{}, f.limits.ParallelNotices)
	var all sync.WaitGroup
	for i := range notices {
		n := &notices[i]
		f.remember(n)
		c := f.clients[gjson.GetBytes(n.Body, "actor").String()]
		if c == nil { // no longer in the configuration
			f.log.Warn("no recipient for final notification", "id", n.ID)
			taken[i] = true
			continue
		}
		u, err := url.Parse(c.Inbox)
		if err != nil {
			taken[i] = true
			continue
		}
		all.Add(1)
		room <- struct{}{}
		go func() {
			defer func() { <-room; all.Done() }()
			r := f.post(ctx, u, f.answer(n), nil, nil).Result
			taken[i] = r == control.Delivered || r == control.Rejected
		}()
	}
	all.Wait()
	return taken
}

// answer is an Accept for a delivery and a Reject for all else. Its id is the same each time it is sent.
func (f *Front) answer(n *engine.Notice) []byte {
	kind, how := "Reject", "given_up"
	c := &f.messageClasses[n.Class]
	once := !n.MayHaveRunAt.IsZero() && c.Effect == control.Keyed // it may have taken effect: only the window allows more
	back := n.HandedBack && (!once || f.Now().Before(n.MayHaveRunAt.Add(c.Memory)))
	if n.Delivered {
		kind, how = "Accept", "delivered"
	} else if back {
		how = "handed_back"
	}
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %d", n.ID, n.Deadline.UnixMicro()))
	b := []byte(`{"@context":"https://www.w3.org/ns/activitystreams","id":`)
	b = append(gjson.AppendJSONString(b, f.cfg.Actor+"/answers/"+hex.EncodeToString(sum[:16])), `,"type":"`...)
	b = append(append(append(b, kind...), `","actor":`...), gjson.AppendJSONString(nil, f.cfg.Actor)...)
	b = append(gjson.AppendJSONString(append(b, `,"object":`...), n.ID), `,"summary":"`...)
	b = append(append(b, how...), '"')
	if back { // when to come again, and, if it may have taken effect, until when
		b = fmt.Appendf(b, `,"retryAfter":%s`, seconds(n.RetryAfter))
		if once {
			b = fmt.Appendf(b, `,"endTime":"%s"`, n.MayHaveRunAt.Add(c.Memory).UTC().Format(time.RFC3339Nano))
		}
	}
	return append(b, '}')
}

// remember keeps how a message ended, for as many as the limits allow.
func (f *Front) remember(n *engine.Notice) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.ended[n.ID]; !ok {
		f.endedOrder = append(f.endedOrder, n.ID)
	}
	f.ended[n.ID] = end{delivered: n.Delivered, ranAt: n.MayHaveRunAt}
	for len(f.endedOrder) > f.limits.MaxRemembered {
		delete(f.ended, f.endedOrder[0])
		f.endedOrder = f.endedOrder[1:]
	}
}
