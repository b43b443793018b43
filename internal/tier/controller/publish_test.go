package controller

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/storage/memorydisk"
	"mastusher/internal/tier/view"
)

func TestPublish_EachChangeOnce(t *testing.T) {
	f := startFixture(t, memorydisk.New())
	f.Publish()
	wantStatus(t, f.put("0", document(3)), http.StatusOK)
	f.Publish()
	f.Publish()
	wantStatus(t, f.send(http.MethodPost, "/mastusher/rollouts", `{"service":"lm","target":"v2","overS":12}`), http.StatusOK)
	f.Publish()
	var sections []view.Section
	for _, update := range f.fleet.published {
		sections = append(sections, update.Section)
	}
	if diff := cmp.Diff([]view.Section{view.ConfigurationSection, view.RolloutsSection}, sections); diff != "" {
		t.Errorf("published sections (-want +got):\n%s", diff)
	}
}
