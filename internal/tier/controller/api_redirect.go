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

// redirect responds to the request if this member isn't the leader: with a redirect to the leader, or NotReady if none is known.
// If redirected is true, the handler must return err.
func (c *Controller) redirect(e echo.Context) (redirected bool, err error) {
	status := c.group.Status()
	if status.IsLeader {
		return false, nil
	}
	address := c.controlAddress(status.Leader)
	if !isMember(status) {
		address = cmp.Or(c.peerControlAddress(), c.controlAddress(status.ExclusionReporter))
	}
	if address == "" {
		return true, apierror.New(apierror.NotReady, "no leader of the configuration group is known now")
	}
	// A caller that sends the complete body before it reads would lose the response if the connection closed early.
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(e.Response(), e.Request().Body, maxConfigurationBytes))
	return true, e.Redirect(http.StatusTemporaryRedirect, "http://"+address+e.Request().RequestURI)
}

// controlAddress returns the address of another controller's operator API, empty if unknown. It ignores the controller's
// membership state: the group had contact with it recently, and membership takes seconds to detect that a partition has healed.
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

// isMember reports whether this controller is in the group. Only members learn who leads the group.
func isMember(status replica.Status) bool {
	return slices.ContainsFunc(status.Members, func(m replica.Member) bool { return m.ID == status.ID })
}

// peerControlAddress returns the address of the operator API of another running controller, empty if there is none. It cycles
// through the peers, so that two controllers outside the group don't redirect a caller to each other forever. The peer that has run
// for the longest time comes first, since it is the most likely to be in the group.
func (c *Controller) peerControlAddress() string {
	peers := c.runningPeers()
	if len(peers) == 0 {
		return ""
	}
	slices.SortStableFunc(peers, func(a, b membership.Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	count := c.redirects.Add(1) - 1
	return peers[count%uint64(len(peers))].Control
}
