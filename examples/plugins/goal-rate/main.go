//go:build wasip1

// A plug-in that watches the ends of messages: when more than three of one partner's in a minute were not delivered,
// it logs an alert, once a minute at most. Its counts stand in the store, so that all instances share them and a
// restart does not reset them.
package main

import (
	"encoding/binary"
	"strconv"
	"time"

	"mastusher/pluginsdk"
)

const (
	limit = 3
	span  = time.Minute
)

func init() {
	pluginsdk.OnEnd(func(e pluginsdk.Ended) {
		if e.How() == "delivered" || e.How() == "withdrawn" {
			return
		}
		partner := strconv.Itoa(e.Partner())
		now := pluginsdk.Now()
		// The times of the last ends, oldest first.
		raw, _ := pluginsdk.Get("ends/" + partner)
		var recent []byte
		for ; len(raw) >= 8; raw = raw[8:] {
			if now.Sub(time.UnixMilli(int64(binary.LittleEndian.Uint64(raw)))) < span {
				recent = append(recent, raw[:8]...)
			}
		}
		recent = binary.LittleEndian.AppendUint64(recent, uint64(now.UnixMilli()))
		if n := len(recent) / 8; n > limit {
			recent = recent[8*(n-limit-1):]
			if _, told := pluginsdk.Get("told/" + partner); !told {
				pluginsdk.Log("alert: partner " + partner + " lost more than " + strconv.Itoa(limit) + " messages in a minute")
				_ = pluginsdk.Set("told/"+partner, []byte{1}, span)
			}
		}
		if err := pluginsdk.Set("ends/"+partner, recent, span); err != nil {
			pluginsdk.Log("store: " + err.Error())
		}
	})
}

func main() {}
