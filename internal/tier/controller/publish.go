package controller

import (
	"context"

	"github.com/go-kit/log/level"
)

func (c *Controller) notifyChanged() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// publishLoop spreads what the group has agreed on after each change.
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

// Publish spreads what has changed of the agreed state since the last call. One goroutine at a time may call it.
func (c *Controller) Publish() {
	c.mutex.Lock()
	pieces, err := c.state.UnpublishedSections(c.published)
	c.mutex.Unlock()
	if err != nil {
		level.Error(c.options.Logger).Log("msg", "agreed state cannot be published", "err", err)
		return
	}
	for _, piece := range pieces {
		c.options.Fleet.Publish(piece)
		c.published[piece.Section] = piece.Stamp
	}
}
