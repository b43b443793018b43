package proxy

import (
	"context"
	"testing"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/view"
)

// endpointsOf returns one endpoint for each state, named e1, e2 and so on.
func endpointsOf(addresses []string, states ...model.EndpointState) []model.Endpoint {
	var list []model.Endpoint
	for i, state := range states {
		list = append(list, model.Endpoint{ID: "e" + string(rune('1'+i)), Service: "plain", Address: addresses[i], Zone: "z",
			Capacity: 8, Version: "v1", State: state})
	}
	return list
}

// revokingSelector is a Selector that calls afterSelect between a selection and its send.
type revokingSelector struct {
	*LoadBalancer
	afterSelect func(Selection)
}

func (w *revokingSelector) Select(ctx context.Context, info *RequestInfo) (Selection, error) {
	selection, err := w.LoadBalancer.Select(ctx, info)
	if err == nil {
		w.afterSelect(selection)
	}
	return selection, err
}

func TestPermit_RevokedBeforeSend_EndpointGetsNothing(t *testing.T) {
	ready, draining := model.Ready, model.Draining
	withdraw := map[string]func(*LoadBalancer, []string){
		"draining": func(loadBalancer *LoadBalancer, addresses []string) {
			loadBalancer.SetEndpoints(endpointsOf(addresses, draining, ready))
		},
		"removed": func(loadBalancer *LoadBalancer, addresses []string) {
			loadBalancer.SetEndpoints(endpointsOf(addresses, draining, ready)[1:])
		},
		"a version that is withdrawn": func(loadBalancer *LoadBalancer, addresses []string) {
			list := endpointsOf(addresses, ready, ready)
			list[0].Version = "v2"
			loadBalancer.SetEndpoints(list)
			loadBalancer.SetVersions([]view.ServiceVersions{{Service: "plain", Current: "v1"}})
		},
	}
	for name, change := range withdraw {
		t.Run(name, func(t *testing.T) {
			// given two endpoints, of which the load balancer knows only the first
			first, second := newEndpoint(t, respondWith(200, "first")), newEndpoint(t, respondWith(200, "second"))
			addresses := []string{first.listener.Addr().String(), second.listener.Addr().String()}
			loadBalancer := NewLoadBalancer("z", 1)
			loadBalancer.SetEndpoints(endpointsOf(addresses, ready))
			// when the first endpoint is withdrawn after it was selected
			f := newFixtureWith(t, func(options *Options) {
				options.Selector = &revokingSelector{loadBalancer, func(Selection) { change(loadBalancer, addresses) }}
			}, first, second)
			c := f.dial()
			c.request("POST", "/once/x", "id", "body")
			// then the second endpoint gets the request
			if got := c.readResponse("POST"); got.status != 200 || got.body != "second" {
				t.Errorf("got %+v", got)
			}
			if first.count.Load() != 0 {
				t.Error("the first endpoint got the request")
			}
		})
	}
}
