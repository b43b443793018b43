//go:build wasip1

// Command goal-rate is a plug-in that logs an alert when more than three messages for one partner were lost within a minute. It logs at
// most one alert per partner and minute. The times of the losses are kept in the store, so that all instances share them and a restart
// does not reset them.
package main

import (
	"encoding/binary"
	"strconv"
	"time"

	"mastusher/pluginsdk"
)

const (
	// maxLost is the maximum number of lost messages for one partner within the window that causes no alert.
	maxLost = 3
	window  = time.Minute
	// timeSize is the size in bytes of a time in the store.
	timeSize = 8
)

func init() {
	pluginsdk.OnEnd(watch)
}

func main() {}

// watch records the loss of a message, and logs an alert if there were more than maxLost within the window.
func watch(e pluginsdk.Ended) {
	if e.How() == "delivered" || e.How() == "withdrawn" {
		return
	}
	now, partner := pluginsdk.Now(), strconv.Itoa(e.Partner())
	lostKey := "ends/" + partner
	stored, _ := pluginsdk.Get(lostKey)
	lost := appendTime(recentTimes(stored, now), now)
	if excess := len(lost)/timeSize - maxLost; excess > 0 {
		lost = lost[timeSize*(excess-1):] // keep the last maxLost+1 times, which suffice to detect the next excess
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
	_ = pluginsdk.Set(alertKey, []byte{1}, window) // if the store is full, repeated alerts are better than none
}

// recentTimes returns the times that are within the window. times is sorted, oldest first.
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
