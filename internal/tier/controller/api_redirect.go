package controller

import (
	"cmp"
	"io"
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"

	"mastusher/internal/tier/apierror"
	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/replica"
)

// redirect answers the request if this member isn't the leader: by a redirect to the leader, or NotReady if none is known. The
// handler must return err if redirected is true.
func (c *Controller) redirect(e echo.Context) (redirected bool, err error) {
	status := c.group.Status()
	if status.IsLeader {
		return false, nil
	}
	address := c.controlAddress(status.Leader)
	if !isMember(status) {
		address = cmp.Or(c.peerControlAddress(), c.controlAddress(status.Informant))
	}
	if address == "" {
		return true, apierror.New(apierror.NotReady, "the configuration has no owner that is known now")
	}
	// A caller that sends the complete body before it reads would lose the response if the connection closed earlier.
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(e.Response(), e.Request().Body, maxConfigurationBytes))
	return true, e.Redirect(http.StatusTemporaryRedirect, "http://"+address+e.Request().RequestURI)
}

// controlAddress is where operators reach another controller; empty if unknown. Its membership state must not matter: the group
// has heard it lately, and membership takes seconds to notice that a partition has healed.
func (c *Controller) controlAddress(id string) string {
	if id == "" || id == c.options.ID {
		return ""
	}
	for _, m := range c.options.Fleet.Members() {
		if m.ID == id && m.Role == membership.Controller {
			return m.Control
		}
	}
	return ""
}

// isMember reports whether this controller is in the group; only then does it learn of the group's leader.
func isMember(status replica.Status) bool {
	return slices.ContainsFunc(status.Members, func(m replica.Member) bool { return m.ID == status.ID })
}

// peerControlAddress is where operators reach another running controller; empty if there is none. It cycles through the peers,
// lest two controllers outside the group redirect a caller to each other for ever. The one that has run for the longest time is
// first, since it most likely is in the group.
func (c *Controller) peerControlAddress() string {
	peers := c.runningPeers()
	if len(peers) == 0 {
		return ""
	}
	slices.SortStableFunc(peers, func(a, b membership.Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	count := c.redirects.Add(1) - 1
	return peers[count%uint64(len(peers))].Control
}
