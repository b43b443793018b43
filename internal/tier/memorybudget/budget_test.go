package memorybudget

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// reserve reserves bytes that must be free.
func reserve(t *testing.T, b *Budget, class Class, bytes int64) *Lease {
	t.Helper()
	l, err := b.TryReserve(class, bytes)
	if err != nil {
		t.Fatalf("%d bytes of class %v: %v", bytes, class, err)
	}
	return l
}

func TestBudget_ClassAtItsShare_OthersStillFindMemory(t *testing.T) {
	b := New(1000, Shares{Connections: 0.2, Small: 1, Large: 0.375, Lines: 0.3})
	reserve(t, b, Connections, 200)
	reserve(t, b, Large, 375)
	reserve(t, b, Lines, 300)
	for _, class := range []Class{Connections, Large, Lines} {
		if _, err := b.TryReserve(class, 1); !errors.Is(err, ErrExhausted) {
			t.Errorf("class %v takes more than its share", class)
		}
	}
	reserve(t, b, Small, 125)
	if _, err := b.TryReserve(Small, 1); !errors.Is(err, ErrExhausted) {
		t.Error("more than the whole budget is reserved")
	}
}

func TestBudget_SinglePieceOverItsShare_Granted(t *testing.T) {
	b := New(1000, ServerShares)
	l := reserve(t, b, Large, 900)
	if _, err := b.TryReserve(Large, 10); err == nil {
		t.Error("a second piece is granted over the share")
	}
	l.Release()
	l.Release()
	growing := reserve(t, b, Lines, 200)
	if !growing.TryGrow(Lines, 700) {
		t.Error("a single piece cannot grow over its share")
	}
	growing.Release()
	reserve(t, b, Large, 1000).Release()
	if counts := b.Counts(Large); counts.Used != 0 {
		t.Errorf("%d bytes are reserved after all was released", counts.Used)
	}
}

func TestBudget_MoreThanTheWhole_RefusedAtOnce(t *testing.T) {
	b := New(1000, ServerShares)
	if _, err := b.Reserve(t.Context(), Large, 1001); !errors.Is(err, ErrExhausted) {
		t.Errorf("error %v", err)
	}
}

func TestBudget_NilBudget_GrantsAll(t *testing.T) {
	var b *Budget
	l, err := b.Reserve(t.Context(), Large, 1<<50)
	if err != nil || l != nil {
		t.Fatalf("%v, %v", l, err)
	}
	if err := l.Grow(t.Context(), Lines, 1<<50); err != nil || !l.TryGrow(Small, 1<<50) {
		t.Error("a nil lease does not grow")
	}
	l.AwaitCaller(func() { t.Error("revoked") })
	l.Progressed(1)
	l.ShrinkTo(Large, 0)
	l.Release()
	if l.StopAwaiting() || New(0, ServerShares) != nil {
		t.Error("a budget of 0 bytes is not nil")
	}
}

func TestReserve_WaitersOfAClass_GrantedInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1000, ServerShares)
		held := reserve(t, b, Large, 375)
		var mutex sync.Mutex
		var order []int
		for i := range 3 {
			go func() {
				l, err := b.Reserve(t.Context(), Large, 300)
				if err != nil {
					t.Error(err)
					return
				}
				mutex.Lock()
				order = append(order, i)
				mutex.Unlock()
				time.Sleep(10 * time.Millisecond)
				l.Release()
			}()
			synctest.Wait()
		}
		if counts := b.Counts(Large); counts.Waited != 3 {
			t.Errorf("%d reservations waited", counts.Waited)
		}
		held.Release()
		time.Sleep(time.Second)
		mutex.Lock()
		defer mutex.Unlock()
		if len(order) != 3 || order[0] != 0 || order[1] != 1 || order[2] != 2 {
			t.Errorf("granted in the order %v", order)
		}
	})
}

func TestReserve_ContextEnds_LeavesNothingBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1000, ServerShares)
		held := reserve(t, b, Large, 375)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := b.Reserve(ctx, Large, 100); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("error %v", err)
		}
		held.Release()
		if counts := b.Counts(Large); counts.Used != 0 || counts.Refused != 1 {
			t.Errorf("%+v", counts)
		}
		reserve(t, b, Large, 375)
	})
}

func TestReserve_SmallBehindWaitingLarge_GrantedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1000, ServerShares)
		reserve(t, b, Large, 375)
		go func() { _, _ = b.Reserve(t.Context(), Large, 300) }()
		synctest.Wait()
		reserve(t, b, Small, 100)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if _, err := b.Reserve(ctx, Small, 100); err != nil {
			t.Errorf("a small reservation waits behind a large one: %v", err)
		}
	})
}

// stallingCaller reserves bytes and lets its caller progress by some bytes each tenth of a stallInterval. It returns whether it was revoked.
func stallingCaller(t *testing.T, b *Budget, bytes int64, progress int) *atomic.Bool {
	t.Helper()
	l := reserve(t, b, Large, bytes)
	revoked := new(atomic.Bool)
	l.AwaitCaller(func() {
		revoked.Store(true)
		l.Release()
	})
	go func() {
		for range 100 {
			time.Sleep(stallInterval / 10)
			l.Progressed(progress)
		}
	}()
	return revoked
}

func TestLease_CallerProgress_RevokedOnlyIfStalledAndNeeded(t *testing.T) {
	cases := []struct {
		name     string
		progress int // bytes in each tenth of a stallInterval; 320 bytes are reserved
		needed   bool
		revoked  bool
	}{
		{"given a caller that sends nothing and one that waits then it is revoked", 0, true, true},
		{"given a caller that sends nothing and nobody that waits then it is left", 0, false, false},
		{"given a caller that keeps its pace then it is left", 2, true, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := New(1000, ServerShares)
				revoked := stallingCaller(t, b, 320, test.progress)
				if test.needed {
					go func() {
						ctx, cancel := context.WithTimeout(t.Context(), 4*stallInterval)
						defer cancel()
						if _, err := b.Reserve(ctx, Large, 100); (err == nil) != test.revoked {
							t.Errorf("the reservation that waits: %v", err)
						}
					}()
				}
				time.Sleep(5 * stallInterval)
				if revoked.Load() != test.revoked {
					t.Errorf("revoked: %v", revoked.Load())
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

func TestLease_BurstThenStalled_Revoked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1000, ServerShares)
		l := reserve(t, b, Large, 370)
		var revoked atomic.Bool
		l.AwaitCaller(func() {
			revoked.Store(true)
			l.Release()
		})
		l.Progressed(369)
		if _, err := b.Reserve(t.Context(), Large, 100); err != nil {
			t.Error(err)
		}
		if !revoked.Load() || !l.StopAwaiting() {
			t.Error("a caller that stopped just short of its end keeps its share")
		}
	})
}

func TestLease_OwnerDoesNotAwaitCaller_NeverRevoked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1000, ServerShares)
		l := reserve(t, b, Large, 370)
		l.AwaitCaller(func() { t.Error("revoked") })
		if l.StopAwaiting() {
			t.Error("revoked at once")
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*stallInterval)
		defer cancel()
		if _, err := b.Reserve(ctx, Large, 100); err == nil {
			t.Error("granted")
		}
	})
}

func TestRevokeStalled_ClassIsFull_OnlyItsHoldersGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1000, ServerShares)
		idle := reserve(t, b, Connections, 100)
		idle.AwaitCaller(func() { t.Error("a connection is revoked for a body") })
		reserve(t, b, Large, 370)
		ctx, cancel := context.WithTimeout(t.Context(), 5*stallInterval)
		defer cancel()
		if _, err := b.Reserve(ctx, Large, 100); err == nil {
			t.Error("granted")
		}
	})
}
