package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"mastusher/internal/relay/config"
	"mastusher/internal/relay/fleet/node"
)

// answerTimeout is the time without an answer after which Ask repeats a request: datagrams may be lost.
const answerTimeout = 300 * time.Millisecond

// SendAdminRequest sends an operator's request to the relay with this configuration on this machine, and repeats it until the relay answers. If ctx is
// done before that, the error wraps the cause.
func SendAdminRequest(ctx context.Context, cfg *config.Peers, request node.AdminRequest) (*node.Status, error) {
	conn, err := net.Dial("udp4", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Now()) })
	defer stop()
	buf := make([]byte, maxFrameBytes+1)
	for ctx.Err() == nil {
		request.Number++
		b, err := (&frame{Fleet: cfg.Fleet, AdminRequest: &request}).pack(nil, kindAdminRequest)
		if err != nil {
			return nil, err
		}
		_, _ = conn.Write(b) // if it is lost, or the relay does not listen yet, the loop repeats it
		_ = conn.SetReadDeadline(time.Now().Add(answerTimeout))
		for ctx.Err() == nil {
			n, err := conn.Read(buf)
			if err != nil {
				if netErr := net.Error(nil); !errors.As(err, &netErr) || !netErr.Timeout() {
					select { // connection refused: the relay does not listen yet
					case <-time.After(answerTimeout / 3):
					case <-ctx.Done():
					}
				}
				break
			}
			if fr, kind, err := unpack(buf[:n]); err == nil && kind == kindAnswer && fr.Answer != nil && fr.RequestNumber <= request.Number {
				return fr.Answer, nil
			}
		}
	}
	return nil, fmt.Errorf("no answer from the relay at %s: %w", cfg.Listen, context.Cause(ctx))
}
