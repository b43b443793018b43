package transport

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func queuedFrame(text string) *frame {
	return &frame{line: bytes.NewBufferString(text)}
}

func TestOutbox_NoticesOverTheBound_DropsTheOldest(t *testing.T) {
	// Given a queue that can hold three notices and is not being written
	out := outbox{limits: limits{noticeBytes: 6, queuedBytes: 4}}
	dropped := 0
	for _, text := range []string{"1\n", "2\n", "3\n", "4\n", "5\n"} {
		dropped += out.pushNotice(queuedFrame(text))
	}
	// Then the newest three remain
	var batch bytes.Buffer
	out.nextBatch(&batch)
	if batch.String() != "3\n4\n5\n" || dropped != 2 {
		t.Errorf("%q remains and %d dropped, want the newest three and 2", batch.String(), dropped)
	}
}

func TestOutbox_CallsOverTheBound_Fail(t *testing.T) {
	out := outbox{limits: limits{noticeBytes: 4, queuedBytes: 4}}
	first, second := queuedFrame("too long alone\n"), queuedFrame("2\n")
	if err := out.push(first); err != nil {
		t.Fatalf("an empty queue rejects a call: %v", err)
	}
	if err := out.push(second); err != ErrQueueFull {
		t.Fatalf("error %v, want ErrQueueFull", err)
	}
	if out.withdraw(first) {
		t.Error("a queued call was reported as dequeued")
	}
	if err := out.push(second); err != nil {
		t.Errorf("the queue rejects a call after the other was withdrawn: %v", err)
	}
	var batch bytes.Buffer
	out.nextBatch(&batch)
	if !out.withdraw(second) || batch.String() != "2\n" {
		t.Errorf("the second call was not reported as dequeued, or the batch %q is wrong", batch.String())
	}
}

func TestOutbox_SeveralLines_GoIntoOneWrite(t *testing.T) {
	out := outbox{limits: defaultLimits()}
	long := strings.Repeat("x", maxBatchBytes+1)
	_ = out.push(queuedFrame("1\n"))
	_ = out.push(queuedFrame("2\n"))
	_ = out.push(queuedFrame(long))
	out.pushNotice(queuedFrame("n\n"))
	var got []int
	for {
		var batch bytes.Buffer
		alone := out.nextBatch(&batch)
		if alone != nil {
			got = append(got, alone.Len())
			continue
		}
		if batch.Len() == 0 {
			break
		}
		got = append(got, batch.Len())
	}
	if diff := cmp.Diff([]int{6, len(long)}, got); diff != "" {
		t.Error(diff)
	}
}

func TestOutbox_BulkNotices_YieldToAllElse(t *testing.T) {
	// Given a queued bulk notice and another one beyond the limit,
	out := outbox{limits: limits{noticeBytes: 100, queuedBytes: 100, bulkBytes: 6}}
	if !out.pushBulk(queuedFrame("b1b1\n")) {
		t.Fatal("the first bulk notice was not queued")
	}
	if out.pushBulk(queuedFrame("b2\n")) {
		t.Fatal("a bulk notice beyond the limit was queued")
	}
	// when other lines are queued afterwards,
	out.pushNotice(queuedFrame("n\n"))
	_ = out.push(queuedFrame("c\n"))
	// then these are written first, and the bulk notice in a batch of its own.
	var got []string
	for {
		var batch bytes.Buffer
		if out.nextBatch(&batch); batch.Len() == 0 {
			break
		}
		got = append(got, batch.String())
	}
	if diff := cmp.Diff([]string{"c\nn\n", "b1b1\n"}, got); diff != "" {
		t.Error(diff)
	}
	if !out.pushBulk(queuedFrame("longer than the bound\n")) {
		t.Error("an empty queue rejects a bulk notice longer than the limit")
	}
}
