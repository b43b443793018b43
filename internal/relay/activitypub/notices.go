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

// end tells how a message ended, to answer duplicates of it.
type end struct {
	delivered bool
	ranAt     time.Time // when the first attempt that may have run began; zero: none may have run
}

// Notify implements engine.Front: it posts the single final answer to each activity to its client, Limits.ParallelNotices at a time. An
// answer that the client rejects for good counts as accepted, since repeating it is useless.
func (f *Front) Notify(ctx context.Context, notices []engine.Notice) []bool {
	accepted := make([]bool, len(notices))
	slots := make(chan struct{}, f.limits.ParallelNotices)
	var calls sync.WaitGroup
	for i := range notices {
		notice := &notices[i]
		f.remember(notice)
		client := f.clients[gjson.GetBytes(notice.Body, "actor").String()]
		if client == nil { // no longer in the configuration
			f.log.Warn("no recipient for final notification", "id", notice.ID)
			accepted[i] = true
			continue
		}
		inbox, err := url.Parse(client.Inbox)
		if err != nil {
			accepted[i] = true
			continue
		}
		calls.Add(1)
		slots <- struct{}{}
		go func() {
			defer func() { <-slots; calls.Done() }()
			result := f.post(ctx, inbox, f.answer(notice), nil, nil).Result
			accepted[i] = result == control.Delivered || result == control.Rejected
		}()
	}
	calls.Wait()
	return accepted
}

// answer returns an Accept for a delivered activity and a Reject for any other. Its id is the same whenever it is sent, so that clients can
// recognize repeats.
func (f *Front) answer(notice *engine.Notice) []byte {
	kind, outcome := "Reject", "given_up"
	class := &f.messageClasses[notice.Class]
	bounded := !notice.MayHaveRunAt.IsZero() && class.Effect == control.Keyed // may have taken effect: repeat only within its window
	handedBack := notice.HandedBack && (!bounded || f.Now().Before(notice.MayHaveRunAt.Add(class.DedupWindow)))
	if notice.Delivered {
		kind, outcome = "Accept", "delivered"
	} else if handedBack {
		outcome = "handed_back"
	}
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %d", notice.ID, notice.Deadline.UnixMicro()))
	answer := []byte(`{"@context":"https://www.w3.org/ns/activitystreams","id":`)
	answer = append(gjson.AppendJSONString(answer, f.cfg.Actor+"/answers/"+hex.EncodeToString(sum[:16])), `,"type":"`...)
	answer = append(append(append(answer, kind...), `","actor":`...), gjson.AppendJSONString(nil, f.cfg.Actor)...)
	answer = append(gjson.AppendJSONString(append(answer, `,"object":`...), notice.ID), `,"summary":"`...)
	answer = append(append(answer, outcome...), '"')
	if handedBack { // when it may be submitted again, and, if it may have taken effect, until when
		answer = fmt.Appendf(answer, `,"retryAfter":%s`, seconds(notice.RetryAfter))
		if bounded {
			answer = fmt.Appendf(answer, `,"endTime":"%s"`, notice.MayHaveRunAt.Add(class.DedupWindow).UTC().Format(time.RFC3339Nano))
		}
	}
	return append(answer, '}')
}

// remember stores how a message ended. It keeps the last Limits.MaxRemembered messages.
func (f *Front) remember(notice *engine.Notice) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.ended[notice.ID]; !ok {
		f.endedOrder = append(f.endedOrder, notice.ID)
	}
	f.ended[notice.ID] = end{delivered: notice.Delivered, ranAt: notice.MayHaveRunAt}
	for len(f.endedOrder) > f.limits.MaxRemembered {
		delete(f.ended, f.endedOrder[0])
		f.endedOrder = f.endedOrder[1:]
	}
}
