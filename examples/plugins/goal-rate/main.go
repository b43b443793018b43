//go:build wasip1

// Command goal-rate is a plug-in that watches the ends of messages: when more than three of one partner's in a minute
// were not delivered, it logs an alert, once a minute at most. Its counts stand in the store, so that all instances share
// them and a restart does not reset them.
package main

import (
	"encoding/binary"
	"strconv"
	"time"

	"mastusher/pluginsdk"
)

const (
	// maxLost is how many messages of one partner may be lost within the window before there is an alert.
	maxLost = 3
	window  = time.Minute
	// timeSize is how many bytes a time takes in the store.
	timeSize = 8
)

func init() {
	pluginsdk.OnEnd(watch)
}

func main() {}

// watch counts a message that was lost, and logs an alert when it is one too many.
func watch(e pluginsdk.Ended) {
	if e.How() == "delivered" || e.How() == "withdrawn" {
		return
	}
	now, partner := pluginsdk.Now(), strconv.Itoa(e.Partner())
	lostKey := "ends/" + partner
	stored, _ := pluginsdk.Get(lostKey)
	lost := appendTime(recentTimes(stored, now), now)
	if excess := len(lost)/timeSize - maxLost; excess > 0 {
		lost = lost[timeSize*(excess-1):] // no more is needed to know of the next that it is one too many
		alert(partner)
	}
	if err := pluginsdk.Set(lostKey, lost, window); err != nil {
		pluginsdk.Log("store: " + err.Error())
	}
}

// alert logs an alert for a partner, unless there was one within the window.
func alert(partner string) {
	alertKey := "told/" + partner
	if _, alerted := pluginsdk.Get(alertKey); alerted {
		return
	}
	pluginsdk.Log("alert: partner " + partner + " lost more than " + strconv.Itoa(maxLost) + " messages in a minute")
	_ = pluginsdk.Set(alertKey, []byte{1}, window) // where the store is full an alert too many is better than none
}

// recentTimes drops the times, oldest first, that lie outside of the window.
func recentTimes(times []byte, now time.Time) []byte {
	var recent []byte
	for ; len(times) >= timeSize; times = times[timeSize:] {
		at := time.UnixMilli(int64(binary.LittleEndian.Uint64(times)))
		if now.Sub(at) < window {
			recent = append(recent, times[:timeSize]...)
		}
	}
	return recent
}

func appendTime(times []byte, at time.Time) []byte {
	return binary.LittleEndian.AppendUint64(times, uint64(at.UnixMilli()))
}
