package testcluster

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"

	"mastusher/internal/relay/config"
)

// lastPort is the last port that spareAddress tried. Ports are below the system's ephemeral range, from which an outgoing connection could
// take the port of a relay that is down.
var lastPort atomic.Int32

// spareAddress returns a loopback address whose port is free for TCP and UDP.
func spareAddress() (string, error) {
	lastPort.CompareAndSwap(0, int32(10000+os.Getpid()*61%15000))
	for range 20000 {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(10000+int(lastPort.Add(1))%20000))
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		packets, err := net.ListenPacket("udp4", address)
		_ = listener.Close()
		if err != nil {
			continue
		}
		return address, packets.Close()
	}
	return "", errNoPort
}

// settings is a format for a relay's settings, with the number of relays and the relay's index.
const settings = `{"peers_total": %d, "me": %d, "round": 5000, "localities": ["a"], "machine_types": ["news-groups"],
  "allowed": {"cancel": true, "max_attempts": 6, "max_open": 2000, "max_retry_after": 3000000, "retry_after": true, "conn_idle": 15000000,
    "connect_timeout": 1500000}, "report": {"fields": ["x0", "x1"], "how": "TEXT"}, "family_info": {"workers": 32, "per_call": [1], "kind_apart": [true]}, "lanes": [
    {"name": "match-event", "effect": "token", "group": "all", "memory_span": 4000000, "aim": 3000000, "deadline": 16000000, "worth": 1},
    {"name": "transfer", "effect": "side_effect", "aim": 3000000, "deadline": 16000000, "worth": 2}],
  "rules": {"cold": 14000000, "drain_grace": 250000, "fall": 2000000, "overload_factor": 2, "start_capacity": 0.21}}`

// writeConfig writes the configuration file of a relay.
func (f *Fleet) writeConfig(relay *Relay, list string) error {
	others, voters := map[string]string{}, []string{}
	for _, other := range f.Relays {
		if other.Index < f.plan.Voters {
			voters = append(voters, other.Name)
		}
		if peerLink, side := f.linkBetween(relay, other); peerLink != nil {
			others[other.Name] = peerLink.address(side)
		} else if other != relay {
			others[other.Name] = other.peerAddress
		}
	}
	content := map[string]any{"name": relay.Name, "listen": relay.ClientAddress, "state": relay.stateDir, "discovery": f.discovery.Address,
		"seed": fmt.Sprintf("%016x", relay.Index+1), "known": json.RawMessage(list), "limits": map[string]any{"disk_mb": 3},
		"settings": json.RawMessage(fmt.Sprintf(settings, len(f.Relays), relay.Index)),
		"peers": map[string]any{"fleet": fleetID, "name": relay.Name, "listen": relay.peerAddress, "others": others, "voters": voters,
			"lease": f.plan.Lease.String(), "alone": f.plan.WhenPartitioned, "drift": f.plan.MaxClockDrift}}
	if f.plan.GuaranteedShare > 0 {
		content["peers"].(map[string]any)["share"] = map[string]any{"kept": f.plan.GuaranteedShare}
	}
	if f.plan.withoutPeers {
		delete(content, "peers")
	}
	text, err := json.MarshalIndent(content, "", " ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(relay.stateDir, 0o700); err != nil {
		return err
	}
	f.adminPeers[relay.Name] = &config.Peers{Fleet: fleetID, Listen: relay.peerAddress}
	return os.WriteFile(relay.configFile, text, 0o600)
}
