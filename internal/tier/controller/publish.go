package controller

import (
	"context"
	"encoding/json"

	"github.com/go-kit/log/level"

	"mastusher/internal/tier/view"
)

// notifyChanged has publishLoop publish the committed state. It doesn't block.
func (c *Controller) notifyChanged() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// publishLoop publishes the committed state after each change.
func (c *Controller) publishLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.changed:
		}
		c.Publish()
	}
}

// Publish publishes those sections of the committed state that have changed since the last call. One goroutine at a time may
// call it.
func (c *Controller) Publish() {
	c.mutex.Lock()
	updates, err := c.state.UnpublishedSections(c.published)
	c.mutex.Unlock()
	if err != nil {
		level.Error(c.options.Logger).Log("msg", "publishing committed state failed", "err", err)
		return
	}
	for _, update := range updates {
		c.options.Fleet.Publish(update)
		c.published[update.Section] = update.Stamp
	}
}

// UnpublishedSections returns an update for each section of the committed state whose stamp differs from the one in published.
func (s *StateMachine) UnpublishedSections(published view.Digest) ([]view.Update, error) {
	var updates []view.Update
	isNew := func(section view.Section, index uint64) bool {
		return index != 0 && published[section] != view.Stamp{Sequence: index}
	}
	add := func(section view.Section, index uint64, content any) error {
		if !isNew(section, index) {
			return nil
		}
		body, err := json.Marshal(content)
		if err == nil {
			updates = append(updates, view.Update{Section: section, Stamp: view.Stamp{Sequence: index}, Body: body})
		}
		return err
	}
	if current := s.configuration.Current(); isNew(view.ConfigurationSection, current.Index) {
		updates = append(updates, view.Update{Section: view.ConfigurationSection, Stamp: view.Stamp{Sequence: current.Index},
			Body: view.Config{Raw: current.Raw}.JSON()})
	}
	if err := add(view.PlacementSection, s.placementIndex, view.Placement{Shards: s.placement}); err != nil {
		return nil, err
	}
	if err := add(view.RolloutsSection, s.rolloutsIndex, s.rollouts.Versions()); err != nil {
		return nil, err
	}
	return updates, nil
}
