package controller

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/storage/memorydisk"
	"mastusher/internal/tier/view"
)

func TestPublish_EachChangeOnce(t *testing.T) {
	b := startFixture(t, memorydisk.New())
	b.Publish()
	wantStatus(t, b.put("0", document(3)), http.StatusOK)
	b.Publish()
	b.Publish()
	wantStatus(t, b.send(http.MethodPost, "/mastusher/rollouts", `{"service":"lm","target":"v2","overS":12}`), http.StatusOK)
	b.Publish()
	var sections []view.Section
	for _, update := range b.fleet.published {
		sections = append(sections, update.Section)
	}
	if diff := cmp.Diff([]view.Section{view.ConfigurationSection, view.RolloutsSection}, sections); diff != "" {
		t.Errorf("published sections (-want +got):\n%s", diff)
	}
}
