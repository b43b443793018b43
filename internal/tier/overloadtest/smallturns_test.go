package overloadtest

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"mastusher/internal/tier/localtier"
)

// Sizes of the crowd that fills the stores through one of several proxies.
const (
	edgeMachines      = 4
	fillingClients    = 400
	fillingTime       = 30 * time.Second
	filledStoreMb     = 160                        // memory of a store, which the crowd fills in that time also on a slow machine
	largeOutputTokens = "X-Token-Counts: 10,15000" // 5,000 events of 200 bytes
	smallTurnPause    = 50 * time.Millisecond
	smallTurnsBound   = 30 * time.Second // from the crowd's end, less than what it wrote is kept for
)

// A crowd that fills the stores with large turns must leave room for small new programs at every proxy, beside the crowd and while its turns
// are kept. They were refused with 503, 'storage full', until long after the crowd had gone.
func TestTurns_CrowdFillsStoresThroughOneProxy_SmallTurnsServedAtEach(t *testing.T) {
	t.Run("large inputs", func(t *testing.T) {
		f := newFilledFixture(t)
		f.fillStores(func(ctx context.Context) { f.wholeTurn(ctx, "filling-"+f.attempt(), "Connection: close") })
	})
	t.Run("large outputs", func(t *testing.T) {
		f := newFilledFixture(t)
		f.fillStores(f.largeOutput)
	})
}

// newFilledFixture starts a tier with several edge machines, whose stores the crowds of these tests fill.
func newFilledFixture(t *testing.T) *fixture {
	return newFixtureOf(t, localtier.Counts{Core: 3, Storage: 3, Edge: edgeMachines}, filledLimits())
}

// filledLimits returns the limits of newFilledFixture, by class of machine.
func filledLimits() map[string]localtier.Limits {
	limits := deploymentLimits()
	limits[localtier.StorageClass] = localtier.Limits{MemoryMb: filledStoreMb, OpenFiles: deploymentFiles}
	return limits
}

// largeOutput sends a small turn of a new program whose output is large.
func (f *fixture) largeOutput(ctx context.Context) {
	connection := connect(ctx, f.front)
	if connection == nil {
		return
	}
	defer connection.Close()
	attempt := f.attempt()
	fields := []string{"Program: output-" + attempt, "Budget: 100000000", largeOutputTokens, timeLeftHeader + ": 10000", "Connection: close"}
	if _, err := io.WriteString(connection, request{path: turnPath, attempt: attempt, fields: fields}.head()); err == nil {
		_, _ = io.Copy(io.Discard, connection)
	}
}

// fillStores lets a crowd fill the stores through one proxy, beside small turns at each, and checks that these are served.
func (f *fixture) fillStores(act func(ctx context.Context)) {
	f.t.Helper()
	meter := startMemoryMeter(f.tier.Processes)
	ctx, cancel := context.WithTimeout(f.t.Context(), fillingTime)
	defer cancel()
	var crowd sync.WaitGroup
	for range fillingClients {
		crowd.Go(func() {
			for ctx.Err() == nil {
				act(ctx)
			}
		})
	}
	for _, front := range f.tier.Addresses(localtier.EdgeClass, localtier.FrontPort) {
		crowd.Go(func() { f.sendSmallTurns(ctx, front) })
	}
	crowd.Wait()
	f.checkSmallTurns()
	f.checkMemoryWithin(meter.stop(), filledLimits())
	f.checkProcesses()
}

// sendSmallTurns sends small turns of new programs to a proxy until ctx ends, none of which may find the stores full.
func (f *fixture) sendSmallTurns(ctx context.Context, front string) {
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	sent, refused := 0, 0
	for ctx.Err() == nil {
		err := f.ordinaryRequestAt(ctx, client, front, turnPath)
		sent++
		if err != nil && strings.Contains(err.Error(), "storage full") {
			refused++
		}
		pause(ctx.Done(), smallTurnPause)
	}
	f.t.Logf("proxy at %s: %d small turns beside the crowd, %d found the stores full", front, sent, refused)
	if refused > 0 {
		f.t.Errorf("%d of %d small turns found the stores full at %s", refused, sent, front)
	}
}

// checkSmallTurns checks that a small turn of a new program is answered at each proxy within smallTurnsBound.
func (f *fixture) checkSmallTurns() {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), smallTurnsBound)
	defer cancel()
	began := time.Now()
	var proxies sync.WaitGroup
	for _, front := range f.tier.Addresses(localtier.EdgeClass, localtier.FrontPort) {
		proxies.Go(func() {
			client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
			refused := 0
			err := localtier.Poll(ctx, func(int) error {
				err := f.ordinaryRequestAt(ctx, client, front, turnPath)
				if err != nil {
					refused++
				}
				return err
			})
			f.t.Logf("proxy at %s: small turn answered %v after the crowd, %d refused before", front, time.Since(began).Round(time.Millisecond), refused)
			if err != nil {
				f.t.Errorf("no small turn is answered at %s: %v", front, err)
			}
		})
	}
	proxies.Wait()
}

// deploymentLimits returns the limits of a deployment's machines, by class.
func deploymentLimits() map[string]localtier.Limits {
	return map[string]localtier.Limits{
		localtier.EdgeClass:    {MemoryMb: deploymentEdgeMb, OpenFiles: deploymentFiles},
		localtier.CoreClass:    {MemoryMb: deploymentCoreMb, OpenFiles: deploymentFiles},
		localtier.StorageClass: {MemoryMb: deploymentStoreMb, OpenFiles: deploymentFiles},
	}
}
