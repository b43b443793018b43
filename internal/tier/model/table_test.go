package model

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func matchTable() *Table {
	routes := []Route{
		{Name: "root", Host: "a.example", PathPrefix: "/"},
		{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		{Name: "long", Host: "a.example", PathPrefix: "/x/yy/"},
		{Name: "escaped", Host: "a.example", PathPrefix: "/x%20y/"},
		{Name: "other", Host: "B.example", PathPrefix: "/x/"},
		{Name: "six", Host: "[::1]", PathPrefix: "/"},
		{Name: "shadowed", Host: "A.EXAMPLE:80", PathPrefix: "/x/"},
	}
	return NewTable(&Configuration{Routes: routes})
}

func TestMatch_SeveralPrefixes_LongestOfTheHost(t *testing.T) {
	table := matchTable()
	cases := []struct {
		host, path, want string
	}{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/", "short"},
		{"a.example", "/x", "root"},
		{"a.example", "/x/yy/1", "long"},
		{"a.example", "/x/yyy/1", "short"},
		{"a.example", "/x%20y/1", "escaped"},
		{"a.example", "/x y/1", "root"},
		{"a.example", "/X/1", "root"},
		{"a.example:8149", "/x/1", "short"},
		{"A.Example:8149", "/x/1", "short"},
		{"b.example", "/x/1", "other"},
		{"b.example", "/y/1", ""},
		{"c.example", "/x/1", ""},
		{"C.example", "/x/1", ""},
		{"[::1]", "/", "six"},
		{"[::1]:80", "/", "six"},
		{"a.example", "", ""},
		{"a.example", "x/1", ""},
		{"", "/x/1", ""},
		{strings.Repeat("A", 1000), "/", ""},
	}
	for _, c := range cases {
		t.Run(c.host+c.path, func(t *testing.T) {
			route, ok := table.Match(c.host, c.path)
			if got := nameOf(route); got != c.want || ok != (c.want != "") {
				t.Errorf("got route %q, found %v; want %q", got, ok, c.want)
			}
		})
	}
}

func nameOf(route *Route) string {
	if route == nil {
		return ""
	}
	return route.Name
}

// naiveMatch is a reference implementation of Match by linear search.
func naiveMatch(routes []Route, host, path string) *Route {
	var best *Route
	for i := range routes {
		route := &routes[i]
		if !strings.EqualFold(withoutPort(route.Host), withoutPort(host)) || !strings.HasPrefix(path, route.PathPrefix) {
			continue
		}
		if best == nil || len(route.PathPrefix) > len(best.PathPrefix) {
			best = route
		}
	}
	return best
}

func TestMatch_AnyTable_EqualsLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		host := rapid.StringMatching(`[aAbB]{1,2}(:80)?`)
		prefix := rapid.StringMatching(`/([xy]{1,2}/){0,3}`)
		route := rapid.Custom(func(t *rapid.T) Route {
			return Route{Host: host.Draw(t, "host"), PathPrefix: prefix.Draw(t, "prefix")}
		})
		routes := rapid.SliceOfN(route, 0, 12).Draw(t, "routes")
		table := NewTable(&Configuration{Routes: routes})
		asked := host.Draw(t, "asked host")
		path := rapid.StringMatching(`/?([xy]{1,2}/){0,4}[xy]?`).Draw(t, "path")

		got, ok := table.Match(asked, path)
		want := naiveMatch(routes, asked, path)
		if got != want || ok != (want != nil) {
			t.Fatalf("%v does not match the result of the linear search, %v", got, want)
		}
	})
}

func FuzzMatch(f *testing.F) {
	f.Add("a.example:80", "/x/yy/1")
	f.Add("[::1]:80", "/")
	f.Add("A.EXAMPLE", "/x%20y/")
	f.Add("a:b:c]", "//")
	table := matchTable()
	f.Fuzz(func(t *testing.T, host, path string) {
		got, _ := table.Match(host, path)
		routes := table.Configuration().Routes
		if !isASCII(host) {
			return // strings.EqualFold in naiveMatch also folds non-ASCII letters, which the host of a request can't have
		}
		if want := naiveMatch(routes, host, path); got != want {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

func isASCII(text string) bool {
	const firstBeyond = 0x80
	return strings.IndexFunc(text, func(r rune) bool { return r >= firstBeyond }) < 0
}

func TestMatch_AnyHost_DoesNotAllocate(t *testing.T) {
	table := matchTable()
	requests := [][2]string{{"a.example:8149", "/x/yy/1"}, {"A.Example:8149", "/x/yy/1"}, {"c.example", "/"}}
	for _, request := range requests {
		allocations := testing.AllocsPerRun(100, func() { table.Match(request[0], request[1]) })
		if allocations != 0 {
			t.Errorf("%v: %v allocations", request, allocations)
		}
	}
}

func TestService_ByName_FirstOrNil(t *testing.T) {
	table := NewTable(configuration())
	if got := table.Service("lm"); got == nil || got.MaxConnections != 370 {
		t.Errorf("service lm: got %+v", got)
	}
	if got := table.Service("x"); got != nil {
		t.Errorf("unknown service: got %+v, want nil", got)
	}
	twice := NewTable(&Configuration{Services: []Service{{Name: "a", MaxConnections: 1}, {Name: "a"}}})
	if got := twice.Service("a"); got.MaxConnections != 1 {
		t.Errorf("two services with one name: got %+v, want the first", got)
	}
}

func TestPickService_NoWeights_IsTheService(t *testing.T) {
	for name, route := range map[string]Route{
		"one service":     {Service: "a"},
		"shares of 0":     {Service: "a", WeightedServices: []WeightedService{{Service: "b"}}},
		"infinite shares": {Service: "a", WeightedServices: []WeightedService{{Service: "b", Weight: math.Inf(1)}}},
		"share is NaN":    {Service: "a", WeightedServices: []WeightedService{{Service: "b", Weight: math.NaN()}}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := route.PickService(1); got != "a" {
				t.Errorf("got service %q, want a", got)
			}
		})
	}
}

// Over many keys, consecutive ones included, each service is picked according to its weight, within five standard deviations.
func TestPickService_ManyKeys_FollowWeights(t *testing.T) {
	const keys = 4000
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.OneOf(rapid.Just(0.0), rapid.Float64Range(0.01, 100))
		weights := rapid.SliceOfN(weight, 1, 5).Draw(t, "shares")
		route := &Route{Service: "none"}
		for i, share := range weights {
			route.WeightedServices = append(route.WeightedServices, WeightedService{Service: fmt.Sprint(i), Weight: share})
		}
		first := rapid.Uint64().Draw(t, "first key")
		picked := make(map[string]int)
		for i := range uint64(keys) {
			picked[route.PickService(first+i)]++
		}
		total := sumOfWeights(route.WeightedServices)
		if total == 0 {
			if picked["none"] != keys {
				t.Fatalf("all weights are 0, but got %v", picked)
			}
			return
		}
		for i, share := range weights {
			expected := share / total
			deviation := math.Sqrt(keys * expected * (1 - expected))
			if got := float64(picked[fmt.Sprint(i)]); math.Abs(got-keys*expected) > 5*deviation+1 {
				t.Fatalf("service %d with a share of %v: got %v of %d keys", i, expected, got, keys)
			}
			if share == 0 && picked[fmt.Sprint(i)] != 0 {
				t.Fatalf("service %d with weight 0 was picked", i)
			}
		}
	})
}

// If weight moves from the first service to the second, only keys of the first service move.
func TestPickService_WeightMoves_OnlyItsKeysMove(t *testing.T) {
	before := &Route{WeightedServices: []WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	after := &Route{WeightedServices: []WeightedService{{Service: "a", Weight: 70}, {Service: "b", Weight: 30}}}
	for key := range uint64(10000) {
		if before.PickService(key) == "b" && after.PickService(key) != "b" {
			t.Fatalf("key %d moved from the second service to the first", key)
		}
	}
}

func BenchmarkMatch(b *testing.B) {
	routes := make([]Route, 700)
	for i := range routes {
		routes[i] = Route{Host: "play.example", PathPrefix: fmt.Sprintf("/p%d/", i)}
	}
	table := NewTable(&Configuration{Routes: routes})
	b.ReportAllocs()
	for b.Loop() {
		table.Match("play.example:8149", "/p500/2f")
	}
}

func BenchmarkPick(b *testing.B) {
	route := &Route{WeightedServices: []WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	for key := uint64(0); b.Loop(); key++ {
		route.PickService(key)
	}
}
