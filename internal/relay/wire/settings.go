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

// setup is the JSON form of the settings; unknown keys are ignored. Times are microseconds. The names of these types, and the fields of the
// unnamed ones, must not change: they appear in error messages of encoding/json.
type setup struct {
	Index     int      `json:"me"`
	Peers     int      `json:"peers_total"`
	Zone      int      `json:"zone"`
	Classes   []lane   `json:"lanes"`
	KindNames []string `json:"machine_types"`
	Tenants   []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_per_s"`
	} `json:"orgs"`
	WeightSource   string  `json:"weight_source"`
	OverQuotaValue float64 `json:"over_share_worth"`
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
	Zones        []string `json:"localities"`
	TurnInterval float64  `json:"round"`
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

// lane is the JSON form of a class of messages; see control.Class.
type lane struct {
	Name          string  `json:"name"`
	LatencyTarget float64 `json:"aim"`
	Deadline      float64 `json:"deadline"`
	Effect        string  `json:"effect"`
	Group         string  `json:"group"`
	LateValue     float64 `json:"late_worth"`
	Memory        float64 `json:"memory_span"`
	Value         float64 `json:"worth"`
	InOrder       bool    `json:"sequential"`
}

// Reports holds the indices of the values in a load report; -1 if a report does not have the value.
type Reports struct{ Share, Limit int }

// Settings are the settings of one instance, from the simulator's Hello event or from the relay's configuration.
type Settings struct {
	control.Settings
	Reports        Reports
	TurnInterval   time.Duration // minimum time from one turn to the next
	ConnectTimeout time.Duration
	Zones          []string // names, by number
	KindNames      []string // by number; see control.Settings.Kinds
	TenantNames    []string // by number; see control.Settings.Tenants
	Weights        bool     // weights in the endpoint list are the rates that destinations accept from all relays together
}

// Weight converts a weight of the endpoint list to calls per second; 0 if weights have no meaning or the value is implausible.
func (s *Settings) Weight(w float64) float64 {
	if !s.Weights || !(w > 0 && w <= 1e6) {
		return 0
	}
	return w
}

// KeyError reports a key of the settings with an invalid value.
type KeyError struct{ Key, Reason string }

// Error names the key and says why.
func (e *KeyError) Error() string { return "field setup: key " + e.Key + ": " + e.Reason }

// checkEnums checks that values of enumerations are known and names of classes unique; otherwise it returns a *KeyError. A missing key is
// valid, and has the most restrictive meaning.
func (in *setup) checkEnums() error {
	type enum struct {
		key, value string
		known      []string
	}
	all := []enum{{"registry_mode", in.RegistryMode, []string{"automatic", "subscribe"}},
		{"weight_source", in.WeightSource, []string{"off", "nominal", "rough", "live"}},
		{"family_info.loses_worth", in.FamilyInfo.LosesWorth, []string{"line", "halves"}}}
	for i, l := range in.Classes {
		key := fmt.Sprintf("lanes.%d.", i)
		all = append(all, enum{key + "effect", l.Effect, []string{"pure", "token", "side_effect"}},
			enum{key + "group", l.Group, []string{"all", "zone", "cell"}})
		if slices.ContainsFunc(in.Classes[:i], func(earlier lane) bool { return earlier.Name == l.Name }) {
			return &KeyError{key + "name", fmt.Sprintf("duplicate class name %q", l.Name)}
		}
	}
	for _, w := range all {
		if w.value != "" && !slices.Contains(w.known, w.value) {
			return &KeyError{w.key, fmt.Sprintf("%q is not one of %s", w.value, strings.Join(w.known, ", "))}
		}
	}
	return nil
}

// ParseSettings parses the JSON text of the settings. Its error names the key or offset of the fault: a *KeyError for an invalid value,
// otherwise an error that wraps one of encoding/json.
func ParseSettings(text []byte) (Settings, error) {
	var in setup
	if err := json.Unmarshal(text, &in); err != nil {
		return Settings{}, decodeError(err)
	}
	if err := in.checkEnums(); err != nil {
		return Settings{}, err
	}
	settings := in.module()
	for i := range in.Classes {
		settings.Classes = append(settings.Classes, in.Classes[i].class())
	}
	settings.Kinds = in.kinds()
	var tenants []string
	for _, tenant := range in.Tenants {
		settings.Tenants, tenants = append(settings.Tenants, control.Tenant{Quota: tenant.Quota}), append(tenants, tenant.Name)
	}
	return Settings{Settings: settings, TurnInterval: microseconds(in.TurnInterval), ConnectTimeout: microseconds(in.Allowed.ConnTimeout),
		Zones: in.Zones, KindNames: in.KindNames, TenantNames: tenants,
		Weights: in.WeightSource == "nominal" || in.WeightSource == "rough",
		Reports: Reports{Share: slices.Index(in.Report.Fields, "x0"), Limit: slices.Index(in.Report.Fields, "x1")},
	}, nil
}

// kinds returns the kinds of endpoints, as many as the longest of the keys lists. A call carries one message unless per_call sets another
// number.
func (in *setup) kinds() (kinds []control.Kind) {
	for i := range max(len(in.KindNames), len(in.FamilyInfo.KindApart), len(in.FamilyInfo.PerCall)) {
		kind := control.Kind{MaxMessagesPerCall: 1}
		if i < len(in.FamilyInfo.KindApart) {
			kind.SeparateRoutes = in.FamilyInfo.KindApart[i]
		}
		if i < len(in.FamilyInfo.PerCall) {
			kind.MaxMessagesPerCall = in.FamilyInfo.PerCall[i]
		}
		kinds = append(kinds, kind)
	}
	return kinds
}

// decodeError adds to an error of encoding/json the key whose value has a wrong type, or the offset of the syntax error.
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

// microseconds converts a time of the settings to a duration.
func microseconds(v float64) time.Duration { return time.Duration(v * float64(time.Microsecond)) }

// module returns the decision module's settings without classes, kinds and tenants.
func (in *setup) module() control.Settings {
	settings := control.Settings{
		Peers: in.Peers, Index: in.Index, Zone: in.Zone,
		Slots: in.FamilyInfo.Workers, MaxOpen: in.Allowed.MaxOpen, MaxAttempts: in.Allowed.MaxAttempts,
		Cancel: in.Allowed.Cancel, ConnIdle: microseconds(in.Allowed.ConnIdle), OverQuotaValue: in.OverQuotaValue,
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

// class converts a lane to the decision module's class. A missing effect or group has the most restrictive meaning.
func (l *lane) class() control.Class {
	class := control.Class{Name: l.Name, LatencyTarget: microseconds(l.LatencyTarget), Deadline: microseconds(l.Deadline), Value: l.Value,
		LateValue: l.LateValue, DedupWindow: microseconds(l.Memory), InOrder: l.InOrder}
	switch l.Effect {
	case "pure":
		class.Effect = control.Safe
	case "token":
		class.Effect = control.Keyed
	}
	switch l.Group {
	case "all":
		class.DedupScope = control.DedupPerDestination
	case "zone":
		class.DedupScope = control.DedupPerZone
	}
	return class
}
