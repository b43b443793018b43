package proxy

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/view"
)

// viewChange changes the configuration, endpoints or state of a proxy while a request is pending.
type viewChange func(*fixture, *LoadBalancer)

func viewChanges() map[string]viewChange {
	// reconfigure replaces the configuration.
	reconfigure := func(change func(*model.Configuration)) viewChange {
		return func(f *fixture, _ *LoadBalancer) {
			config := newConfiguration()
			config.Version++
			change(config)
			f.views.routes.Store(NewRoutes(config))
		}
	}
	return map[string]viewChange{
		"all routes removed":    reconfigure(func(c *model.Configuration) { c.Routes = nil }),
		"all services removed":  reconfigure(func(c *model.Configuration) { c.Services = nil }),
		"routes to other hosts": reconfigure(func(c *model.Configuration) { c.Routes[0].Host, c.Routes[2].Host = "b.example", "b.example" }),
		"shorter timeouts": reconfigure(func(c *model.Configuration) {
			for i := range c.Routes {
				c.Routes[i].TimeoutMs, c.Routes[i].LatencyTargetMs = 1, 1
			}
		}),
		"other limits": reconfigure(func(c *model.Configuration) {
			c.Limits = model.Limits{MaxHeaderBytes: 8 << 10, MaxBodyBytes: 1, HeaderTimeoutMs: 1, IdleTimeoutMs: 1}
		}),
		"no configuration": func(f *fixture, _ *LoadBalancer) { f.views.routes.Store(nil) },
		"not ready":        func(f *fixture, _ *LoadBalancer) { f.views.ready.Store(false) },
		"the endpoint drains": func(_ *fixture, loadBalancer *LoadBalancer) {
			loadBalancer.SetEndpoints(endpointsAt("", "", model.Draining))
		},
		"the endpoint is removed": func(_ *fixture, loadBalancer *LoadBalancer) { loadBalancer.SetEndpoints(nil) },
		"another version": func(_ *fixture, loadBalancer *LoadBalancer) {
			loadBalancer.SetVersions([]view.ServiceVersions{{Service: "plain", Current: "v2"}, {Service: "engine", Current: "v2"}})
		},
		"many proxies":     func(_ *fixture, loadBalancer *LoadBalancer) { loadBalancer.SetProxies(1000) },
		"the proxy drains": func(f *fixture, _ *LoadBalancer) { f.proxy.Drain() },
	}
}

func TestViewChange_PendingRequests_AreNotBrokenOff(t *testing.T) {
	progress := map[string]string{ // fields of the response head that the endpoint has sent by the time of the change
		"no response":        "",
		"a part of a stream": streamHead,
	}
	for name, change := range viewChanges() {
		for progressName, head := range progress {
			t.Run(name+", "+progressName, func(t *testing.T) { checkViewChange(t, change, head) })
		}
	}
}

// checkViewChange applies a change while a request is pending. With a head, the endpoint has sent the first event of a stream by then.
func checkViewChange(t *testing.T, change viewChange, head string) {
	t.Helper()
	// given a pending request
	started, changed := make(chan struct{}), make(chan struct{})
	e := newEndpoint(t, func(socket net.Conn, request receivedRequest) bool {
		text := ""
		if head != "" {
			text = sealedHead(200, request, head) + chunk(event(1, "one"))
		}
		_, _ = io.WriteString(socket, text)
		close(started)
		<-changed
		if closedWithin(t, socket, breakOffWait) {
			t.Error("the proxy has closed its connection to the endpoint")
		}
		if head == "" {
			return respondWith(200, "complete")(socket, request)
		}
		_, _ = io.WriteString(socket, chunk(event(2, "two"))+lastChunk)
		return true
	})
	loadBalancer := NewLoadBalancer("z", 1)
	address := e.listener.Addr().String()
	loadBalancer.SetEndpoints(endpointsAt(address, address, model.Ready))
	f := newFixtureWith(t, func(options *Options) { options.Selector = loadBalancer }, e)
	c := f.dial()
	target, want := "/safe/x", "complete"
	if head != "" {
		target, want = "/stream/x", event(1, "one")+event(2, "two")
	}
	c.request("POST", target, "id", "body")
	<-started
	// when the change is applied
	change(f, loadBalancer)
	close(changed)
	// then the request is answered completely
	if got := c.readResponse("POST"); got.status != 200 || got.body != want || got.err != nil {
		t.Errorf("got %+v", got)
	}
}

// breakOffWait is how long the endpoint waits after a change before it responds: a request that the change interrupts has ended by
// then, whereas a response sent at once could be complete before.
const breakOffWait = 50 * time.Millisecond

// closedWithin reports whether the peer of a connection, which sends nothing, closes the connection within a duration.
func closedWithin(t *testing.T, socket net.Conn, within time.Duration) bool {
	t.Helper()
	if err := socket.SetReadDeadline(time.Now().Add(within)); err != nil {
		t.Error(err)
	}
	_, readErr := socket.Read(make([]byte, 1))
	if err := socket.SetReadDeadline(time.Time{}); err != nil {
		t.Error(err)
	}
	return !errors.Is(readErr, os.ErrDeadlineExceeded)
}

// endpointsAt returns an endpoint of each service, at the given addresses.
func endpointsAt(plain, engine string, state model.EndpointState) []model.Endpoint {
	return []model.Endpoint{
		{ID: "p", Service: "plain", Address: plain, Zone: "z", Capacity: 8, Version: "v1", State: state},
		{ID: "g", Service: "engine", Address: engine, Zone: "z", Capacity: 8, Version: "v1", State: state},
	}
}
