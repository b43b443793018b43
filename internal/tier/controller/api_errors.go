package controller

import (
	"errors"
	"net/http"
	"os"

	"github.com/labstack/echo/v4"

	"mastusher/internal/tier/apierror"
	"mastusher/internal/tier/group"
)

// retryAfterS is the Retry-After header of a 503, in seconds: about the duration of an election.
const retryAfterS = "0.2"

// errorBody is the body of a response that reports an error.
type errorBody struct {
	Error string `json:"error"`
}

// writeError writes the response to an error. Package apierror defines the status and headers of each kind of error.
func (c *Controller) writeError(err error, e echo.Context) {
	if e.Response().Committed {
		return
	}
	var routed *echo.HTTPError
	if errors.As(err, &routed) {
		_ = e.JSON(routed.Code, errorBody{Error: http.StatusText(routed.Code)})
		return
	}
	response := apierror.ResponseOf(err)
	if response.RetryAfter {
		e.Response().Header().Set("Retry-After", retryAfterS)
	}
	if response.Close {
		e.Response().Header().Set("Connection", "close")
	}
	_ = e.JSON(response.Status, errorBody{Error: err.Error()})
}

// proposalError returns the error for a proposal whose commit is not confirmed. A dropped proposal was certainly not committed
// (NotReady). Any other one may have been (Unconfirmed): the operator must send the same request again.
func (c *Controller) proposalError(err error) error {
	var notLeader *group.NotLeaderError
	if errors.As(err, &notLeader) && notLeader.Dropped {
		return apierror.New(apierror.NotReady, "%w", err)
	}
	if errors.As(err, &notLeader) {
		return apierror.New(apierror.Unconfirmed, "%w", err)
	}
	return apierror.New(apierror.Internal, "%w", err)
}

// readError returns the error for a read that no majority has confirmed. The operator may retry it.
func readError(err error) error { return apierror.New(apierror.NotReady, "%w", err) }

// bodyError returns the error for a request body that can't be read.
func bodyError(err error) error {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return apierror.New(apierror.BodyTooLarge, "the request body exceeds %d bytes: %w", large.Limit, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return apierror.New(apierror.RequestTimeout, "the request body was not received in time: %w", err)
	}
	return apierror.New(apierror.BadRequest, "the request body cannot be read or parsed: %w", err)
}
