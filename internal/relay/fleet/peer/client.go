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

// answerTimeout is how long an answer is waited for before the request is repeated: datagrams get lost.
const answerTimeout = 300 * time.Millisecond

// Ask sends an operator's request to the relay of this configuration, on this machine, again and again until it answers. It fails when ctx
// ends before that; the error wraps ctx's cause.
func Ask(ctx context.Context, cfg *config.Peers, request node.AdminRequest) (*node.Status, error) {
	conn, err := net.Dial("udp4", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("the fleet: %w", err)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Now()) })
	defer stop()
	buf := make([]byte, maxFrameBytes+1)
	for ctx.Err() == nil {
		request.Number++
		b, err := (&frame{Fleet: cfg.Fleet, AdminRequest: &request}).pack(nil, kindAsk)
		if err != nil {
			return nil, err
		}
		_, _ = conn.Write(b) // lost, or nobody listens yet: it is sent again
		_ = conn.SetReadDeadline(time.Now().Add(answerTimeout))
		for ctx.Err() == nil {
			n, err := conn.Read(buf)
			if err != nil {
				if netErr := net.Error(nil); !errors.As(err, &netErr) || !netErr.Timeout() {
					select { // refused: the relay is not there yet
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
	return nil, fmt.Errorf("the relay at %s does not answer: %w", cfg.Listen, context.Cause(ctx))
}
