package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"mastusher/control"
)

// setup is the JSON text of the settings; keys that are not here are ignored.
type setup struct {
	Me           int      `json:"me"`
	PeersTotal   int      `json:"peers_total"`
	Zone         int      `json:"zone"`
	Lanes        []lane   `json:"lanes"`
	MachineTypes []string `json:"machine_types"`
	Orgs         []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_per_s"`
	} `json:"orgs"`
	WeightSource   string  `json:"weight_source"`
	OverShareWorth float64 `json:"over_share_worth"`
	Allowed        struct {
		Cancel        bool    `json:"cancel"`
		ConnIdle      float64 `json:"conn_idle"`
		ConnTimeout   float64 `json:"connect_timeout"`
		MaxAttempts   int     `json:"max_attempts"`
		MaxOpen       int     `json:"max_open"`
		MaxRetryAfter float64 `json:"max_retry_after"`
		RetryAfter    bool    `json:"retry_after"`
	} `json:"allowed"`
	FamilyInfo struct {
		Carriage   []float64 `json:"carriage"`
		KindApart  []bool    `json:"kind_apart"`
		PerCall    []int     `json:"per_call"`
		LosesWorth string    `json:"loses_worth"`
		Workers    int       `json:"workers"`
	} `json:"family_info"`
	Prices struct {
		CrossZone float64 `json:"cross_zone"`
	} `json:"prices"`
	RegistryMode string   `json:"registry_mode"`
	Localities   []string `json:"localities"`
	Round        float64  `json:"round"`
	Clients      struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"clients"`
	Report struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"report"`
	Rules struct {
		AskWithin        float64 `json:"ask_within"`
		Cold             float64 `json:"cold"`
		DrainGrace       float64 `json:"drain_grace"`
		Fall             float64 `json:"fall"`
		OverloadFactor   float64 `json:"overload_factor"`
		StartCapacity    float64 `json:"start_capacity"`
		SettleAfterDoubt float64 `json:"settle_after_doubt"`
	} `json:"rules"`
}

// lane is a class of messages.
type lane struct {
	Name       string  `json:"name"`
	Aim        float64 `json:"aim"`
	Deadline   float64 `json:"deadline"`
	Effect     string  `json:"effect"`
	Group      string  `json:"group"`
	LateWorth  float64 `json:"late_worth"`
	MemorySpan float64 `json:"memory_span"`
	Worth      float64 `json:"worth"`
	Sequential bool    `json:"sequential"`
}

// Reports tells where the values of a load report stand; -1: nowhere.
type Reports struct{ Share, Limit int }

// Settings is what an instance is told at its start: in a Hello by the simulator, in its configuration
// by the platform.
type Settings struct {
	control.Settings
	Reports        Reports
	Round          time.Duration // from one turn to the next, at least
	ConnectTimeout time.Duration
	Zones          []string // names, by number
	KindNames      []string
	TenantNames    []string
	Weights        bool // the list's weights are rates that destinations take from all relays together
}

// Weight is what a weight in the list tells: calls a second, 0 where it tells nothing or is no figure that can be.
func (s *Settings) Weight(w float64) float64 {
	if !s.Weights || !(w > 0 && w <= 1e6) {
		return 0
	}
	return w
}

// KeyError names the key of the settings that is at fault.
type KeyError struct{ Key, Reason string }

func (e *KeyError) Error() string { return "field setup: key " + e.Key + ": " + e.Reason }

// checkWords checks the values that have a meaning each. A key that is not there has the narrowest meaning; a word that nobody knows has none.
func (in *setup) checkWords() error {
	type word struct {
		key, value string
		known      []string
	}
	all := []word{{"registry_mode", in.RegistryMode, []string{"automatic", "subscribe"}},
		{"weight_source", in.WeightSource, []string{"off", "nominal", "rough", "live"}},
		{"family_info.loses_worth", in.FamilyInfo.LosesWorth, []string{"line", "halves"}}}
	for i, l := range in.Lanes {
		at := fmt.Sprintf("lanes.%d.", i)
		all = append(all, word{at + "effect", l.Effect, []string{"pure", "token", "side_effect"}},
			word{at + "group", l.Group, []string{"all", "zone", "cell"}})
		if slices.ContainsFunc(in.Lanes[:i], func(o lane) bool { return o.Name == l.Name }) {
			return &KeyError{at + "name", fmt.Sprintf("%q is another class's too", l.Name)}
		}
	}
	for _, w := range all {
		if w.value != "" && !slices.Contains(w.known, w.value) {
			return &KeyError{w.key, fmt.Sprintf("%q is none of %s", w.value, strings.Join(w.known, ", "))}
		}
	}
	return nil
}

// ParseSettings reads the JSON text of the settings. Its error names the key at fault, as a *KeyError where a value has no meaning.
func ParseSettings(text []byte) (Settings, error) {
	var in setup
	if err := json.Unmarshal(text, &in); err != nil {
		return Settings{}, decodeError(err)
	}
	if err := in.checkWords(); err != nil {
		return Settings{}, err
	}
	settings := in.module()
	for i := range in.Lanes {
		settings.Classes = append(settings.Classes, in.Lanes[i].class())
	}
	for i := range max(len(in.MachineTypes), len(in.FamilyInfo.KindApart), len(in.FamilyInfo.PerCall)) {
		kind := control.Kind{PerCall: 1}
		if i < len(in.FamilyInfo.KindApart) {
			kind.SeparateRoutes = in.FamilyInfo.KindApart[i]
		}
		if i < len(in.FamilyInfo.PerCall) {
			kind.PerCall = in.FamilyInfo.PerCall[i]
		}
		settings.Kinds = append(settings.Kinds, kind)
	}
	var tenants []string
	for _, org := range in.Orgs {
		settings.Tenants, tenants = append(settings.Tenants, control.Tenant{Quota: org.Quota}), append(tenants, org.Name)
	}
	return Settings{Settings: settings, Round: microseconds(in.Round), ConnectTimeout: microseconds(in.Allowed.ConnTimeout),
		Zones: in.Localities, KindNames: in.MachineTypes, TenantNames: tenants,
		Weights: in.WeightSource == "nominal" || in.WeightSource == "rough",
		Reports: Reports{Share: slices.Index(in.Report.Fields, "x0"), Limit: slices.Index(in.Report.Fields, "x1")},
	}, nil
}

// decodeError says where a text of settings is no JSON, or which key has a value of another type.
func decodeError(err error) error {
	var typeError *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &typeError):
		return fmt.Errorf("field setup: key %s at offset %d: %w", typeError.Field, typeError.Offset, err)
	case errors.As(err, &syntax):
		return fmt.Errorf("field setup at offset %d: %w", syntax.Offset, err)
	}
	return fmt.Errorf("field setup: %w", err)
}

// microseconds is a time as the settings give it.
func microseconds(v float64) time.Duration { return time.Duration(v * float64(time.Microsecond)) }

// module is what the decision module is told, but for classes, kinds and tenants.
func (in *setup) module() control.Settings {
	settings := control.Settings{
		Peers: in.PeersTotal, Index: in.Me, Zone: in.Zone,
		Slots: in.FamilyInfo.Workers, MaxOpen: in.Allowed.MaxOpen, MaxAttempts: in.Allowed.MaxAttempts,
		Cancel: in.Allowed.Cancel, ConnIdle: microseconds(in.Allowed.ConnIdle), OverQuotaValue: in.OverShareWorth,
		ValueHalves: in.FamilyInfo.LosesWorth == "halves", MarksResubmitted: in.Clients.MarksRetry,
		MustSubscribe: in.RegistryMode == "subscribe", SubscribeWithin: microseconds(in.Rules.AskWithin),
		DrainGrace: microseconds(in.Rules.DrainGrace), SlowStartShare: in.Rules.StartCapacity, SlowStart: microseconds(in.Rules.Cold),
		OverloadWindow: microseconds(in.Rules.Fall), OverloadMultiple: in.Rules.OverloadFactor, InDoubtDelay: microseconds(in.Rules.SettleAfterDoubt),
		CrossZonePrice: in.Prices.CrossZone, ZoneFee: in.FamilyInfo.Carriage,
	}
	if in.Allowed.RetryAfter {
		settings.MaxRetryAfter = microseconds(in.Allowed.MaxRetryAfter)
	}
	return settings
}

// class is a lane as the decision module is told of it. What the text leaves out has the narrowest meaning.
func (l *lane) class() control.Class {
	class := control.Class{Name: l.Name, LatencyTarget: microseconds(l.Aim), Deadline: microseconds(l.Deadline), Value: l.Worth,
		LateValue: l.LateWorth, Memory: microseconds(l.MemorySpan), InOrder: l.Sequential}
	switch l.Effect {
	case "pure":
		class.Effect = control.Safe
	case "token":
		class.Effect = control.Keyed
	}
	switch l.Group {
	case "all":
		class.Group = control.GroupAll
	case "zone":
		class.Group = control.GroupZone
	}
	return class
}
