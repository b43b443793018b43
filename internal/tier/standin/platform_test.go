package standin

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/model"
)

func TestPlatform_List_IsPagedFilteredAndRateLimited(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	server, err := NewPlatform(PlatformOptions{PageSize: 2, RatePerS: 3, Now: func() time.Time { return now }})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	for i, zone := range []string{"a", "b", "a", "a"} {
		server.Put(model.Endpoint{ID: fmt.Sprint("i-", i), Zone: zone, State: model.Ready})
	}
	server.Remove("i-0")
	if !server.SetState("i-2", model.Draining) || server.SetState("i-0", model.Draining) {
		t.Error("SetState must succeed only for a listed endpoint")
	}
	get := func(path string) (status int, ids []string, next string) {
		got := ask(testContext(t), "GET", server.Address(), path, "")
		var answer listResponse
		_ = json.Unmarshal([]byte(got.Body), &answer)
		for _, entry := range answer.Servers {
			ids = append(ids, entry.ID+" "+string(entry.State))
		}
		if answer.NextToken != nil {
			next = *answer.NextToken
		}
		return got.Status, ids, next
	}
	status, ids, next := get("/servers")
	if diff := cmp.Diff([]string{"i-1 ready", "i-2 draining"}, ids); diff != "" || status != 200 || next != "p-2" {
		t.Errorf("%d, %s, %s", status, diff, next)
	}
	_, ids, next = get("/servers?pageToken=p-2")
	if diff := cmp.Diff([]string{"i-3 ready"}, ids); diff != "" || next != "" {
		t.Errorf("%s, %s", diff, next)
	}
	_, ids, _ = get("/servers?zone=a")
	if diff := cmp.Diff([]string{"i-2 draining", "i-3 ready"}, ids); diff != "" {
		t.Error(diff)
	}
	if status, _, _ = get("/servers"); status != 429 {
		t.Errorf("the fourth call in a second got status %d", status)
	}
	now = now.Add(time.Second)
	if status, _, _ = get("/servers?pageToken=q"); status != 400 {
		t.Errorf("an unknown page got status %d", status)
	}
	server.SetDown(true)
	if status, _, _ = get("/servers"); status != 503 {
		t.Errorf("a platform that is down answered with status %d", status)
	}
	if all, overRate := server.Calls(); all != 6 || overRate != 1 {
		t.Errorf("%d calls, %d over the rate", all, overRate)
	}
}
