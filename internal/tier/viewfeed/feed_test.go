package viewfeed

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/programclient"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/view"
)

// recordedEndpoints records the endpoints and versions that a feed applies.
type recordedEndpoints struct {
	lists    [][]model.Endpoint
	versions [][]view.ServiceVersions
}

func (e *recordedEndpoints) SetEndpoints(list []model.Endpoint) { e.lists = append(e.lists, list) }
func (e *recordedEndpoints) SetVersions(versions []view.ServiceVersions) {
	e.versions = append(e.versions, versions)
}

func newFeed(t *testing.T) (*Feed, *recordedEndpoints) {
	pool := transport.NewPool()
	t.Cleanup(pool.Close)
	recorded := &recordedEndpoints{}
	return New("127.0.0.1:1", pool, programclient.New(pool, 0), recorded, log.NewNopLogger()), recorded
}

// update returns a section's content with its stamp.
func update(section view.Section, term, sequence uint64, body string) view.Update {
	return view.Update{Section: section, Stamp: view.Stamp{Term: term, Sequence: sequence}, Body: json.RawMessage(body)}
}

// configuration returns the configuration section with one route, which is stateful if its turns are remembered.
func configuration(term, sequence uint64, number int, remembered bool) view.Update {
	raw := fmt.Sprintf(`{"number":%d,"routes":[{"name":"r","host":"a.example","startsWith":"/r/","kind":"streaming","giveUpMs":5000,
		"targetMs":200,"rank":1,"service":"s","tries":1,"remembered":%t,"keepForS":60}],"services":[{"name":"s","healthPath":"/h",
		"maxConnections":10,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerWaitMs":3000,
		"idleCloseMs":15000}}`, number, remembered)
	return update(view.ConfigurationSection, term, sequence, `{"raw":`+raw+`}`)
}

func TestFeed_Ready(t *testing.T) {
	list := update(view.EndpointsSection, 1, 1, `{"endpoints":[]}`)
	placement := update(view.PlacementSection, 1, 1, `{"shards":[{"replicas":[{"id":"i","address":"127.0.0.1:1"}]}]}`)
	cases := []struct {
		name    string
		updates []view.Update
		want    bool
	}{
		{"given no updates then it isn't ready", nil, false},
		{"given no endpoints then it isn't ready", []view.Update{configuration(1, 1, 1, true), placement}, false},
		{"given no configuration then it isn't ready", []view.Update{list, placement}, false},
		{"given a stateful route and no placement then it isn't ready", []view.Update{configuration(1, 1, 1, true), list}, false},
		{"given configuration, endpoints and placement then it is ready", []view.Update{configuration(1, 1, 1, true), list, placement}, true},
		{"given no stateful route then it needs no placement", []view.Update{configuration(1, 1, 1, false), list}, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f, _ := newFeed(t)
			for _, u := range test.updates {
				f.handle(u)
			}
			if got := f.Ready(); got != test.want {
				t.Errorf("Ready is %v", got)
			}
		})
	}
}

func TestFeed_Configuration_NeverGoesBack(t *testing.T) {
	cases := []struct {
		name    string
		updates []view.Update
		want    uint64
	}{
		{"given a newer configuration then it is applied", []view.Update{configuration(1, 1, 4, false), configuration(1, 2, 7, false)}, 7},
		{"given an older stamp then it is ignored", []view.Update{configuration(1, 2, 4, false), configuration(1, 1, 7, false)}, 4},
		{"given an older number under a newer stamp then it is ignored",
			[]view.Update{configuration(1, 1, 7, false), configuration(2, 1, 4, false)}, 7},
		{"given a configuration that can't be decoded then the previous one stays",
			[]view.Update{configuration(1, 1, 7, false), update(view.ConfigurationSection, 2, 1, `{"raw":{"number":`)}, 7},
		{"given a newer number after an older one was ignored then it is applied",
			[]view.Update{configuration(1, 1, 7, false), configuration(2, 1, 4, false), configuration(2, 2, 9, false)}, 9},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f, _ := newFeed(t)
			for _, u := range test.updates {
				f.handle(u)
			}
			if got := f.Routes().ConfigurationVersion; got != test.want {
				t.Errorf("configuration %d is in force, want %d", got, test.want)
			}
		})
	}
}

func TestFeed_EndpointsAndVersions_OlderAreIgnored(t *testing.T) {
	f, recorded := newFeed(t)
	f.handle(update(view.EndpointsSection, 1, 2, `{"endpoints":[{"id":"new"}]}`))
	f.handle(update(view.EndpointsSection, 1, 1, `{"endpoints":[{"id":"old"}]}`))
	f.handle(update(view.RolloutsSection, 1, 1, `{"services":[{"service":"s","current":"v1"}]}`))
	if diff := cmp.Diff([][]model.Endpoint{{{ID: "new"}}}, recorded.lists); diff != "" {
		t.Errorf("lists (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([][]view.ServiceVersions{{{Service: "s", Current: "v1"}}}, recorded.versions); diff != "" {
		t.Errorf("versions (-want +got):\n%s", diff)
	}
}
