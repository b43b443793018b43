package controller

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/labstack/echo/v4"

	"mastusher/internal/tier/apierror"
	"mastusher/internal/tier/memorybudget"
)

// reserveOrder reserves the memory of a configuration that is to be read and proposed, before any of it is read. The caller must release
// the lease.
func (c *Controller) reserveOrder(e echo.Context) (*memorybudget.Lease, error) {
	length := e.Request().ContentLength
	if length > maxConfigurationBytes {
		return nil, apierror.New(apierror.BodyTooLarge, "the request body exceeds %d bytes", maxConfigurationBytes)
	}
	if length < 0 {
		length = maxConfigurationBytes
	}
	class := memorybudget.Large
	if length <= memorybudget.SmallBytes {
		class = memorybudget.Small
	}
	ctx, cancel := context.WithTimeout(e.Request().Context(), orderMemoryTimeout)
	defer cancel()
	lease, err := c.options.Memory.Reserve(ctx, class, orderCopies*length)
	if err != nil {
		e.Response().Header().Set("Connection", "close") // the body isn't read
		return nil, apierror.New(apierror.NotReady, "no memory for the order now: %w", err)
	}
	return lease, nil
}

// readOrder reads the body of a request whose memory is reserved. A caller that makes too little progress while others wait for memory is
// ended like one that sends nothing.
func readOrder(e echo.Context, lease *memorybudget.Lease) ([]byte, error) {
	connection := http.NewResponseController(e.Response().Writer)
	lease.AwaitCaller(func() { _ = connection.SetReadDeadline(time.Unix(1, 0)) })
	body := http.MaxBytesReader(e.Response(), e.Request().Body, maxConfigurationBytes)
	raw, err := readAll(lease.Reader(body), e.Request().ContentLength)
	if lease.StopAwaiting() {
		return nil, os.ErrDeadlineExceeded
	}
	return raw, err
}

// readAll reads a body of a length, or of unknown length if that is negative.
func readAll(body io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(body)
	}
	raw := make([]byte, length)
	_, err := io.ReadFull(body, raw)
	return raw, err
}
