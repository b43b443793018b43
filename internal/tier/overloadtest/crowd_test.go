package overloadtest

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mastusher/internal/tier/localtier"
	"mastusher/internal/tier/wire"
)

// Sizes of the crowds.
const (
	bodyClients     = 60
	tinyBodyClients = 60
	headClients     = 600
	slowReaders     = 60
	chainClients    = 24
	orderClients    = 40
	lineClients     = 24
)

// shortOfEnd is how many bytes of a whole body are never sent.
const shortOfEnd = 64

// stopShort sends a chunked body that stops just short of its end, and stays open.
func (f *fixture) stopShort(path string, chunkBytes int) func(ctx context.Context, client int) {
	return func(ctx context.Context, _ int) {
		connection := connect(ctx, f.front)
		if connection == nil {
			return
		}
		head := request{path: path, attempt: f.attempt(), chunked: true, fields: turnFields("short-" + f.attempt())}.head()
		if _, err := io.WriteString(connection, head); err == nil {
			_ = sendChunks(connection, maxBodyBytes-shortOfEnd, chunkBytes)
		}
		hold(ctx, connection)
	}
}

// turnFields returns the header fields of a program's first turn.
func turnFields(program string) []string {
	return []string{"Program: " + program, "Budget: 100000000", "X-Token-Counts: 10,6", timeLeftHeader + ": 30000"}
}

func TestBodies_LargeChunksStopShort_PlainRoute(t *testing.T) {
	f := newFixture(t)
	f.run(bodyClients, f.stopShort(plainPath, 64<<10))
}

func TestBodies_TinyChunksStopShort_PlainRoute(t *testing.T) {
	f := newFixture(t)
	f.run(tinyBodyClients, f.stopShort(plainPath, 4))
}

func TestBodies_LargeChunksStopShort_StreamedRoute(t *testing.T) {
	f := newFixture(t)
	f.run(bodyClients, f.stopShort(streamPath, 64<<10))
}

func TestBodies_LargeChunksStopShort_RememberedRoute(t *testing.T) {
	f := newFixture(t)
	f.run(bodyClients, f.stopShort(turnPath, 64<<10))
}

func TestBodies_AnnouncedLengthStopsShort(t *testing.T) {
	f := newFixture(t)
	f.run(bodyClients, func(ctx context.Context, client int) {
		connection := connect(ctx, f.front)
		if connection == nil {
			return
		}
		path := []string{plainPath, streamPath, turnPath}[client%3]
		head := request{path: path, attempt: f.attempt(), length: maxBodyBytes, fields: turnFields("length-" + f.attempt())}.head()
		if _, err := io.WriteString(connection, head); err == nil {
			_ = sendBytes(connection, maxBodyBytes-shortOfEnd)
		}
		hold(ctx, connection)
	})
}

func TestBodies_FarOverTheLimit(t *testing.T) {
	f := newFixture(t)
	const farOver = 256 << 20
	f.run(bodyClients, func(ctx context.Context, client int) {
		connection := connect(ctx, f.front)
		if connection == nil {
			return
		}
		path := []string{plainPath, streamPath, turnPath}[client%3]
		announced := client%2 == 0
		head := request{path: path, attempt: f.attempt(), length: farOver, chunked: !announced, fields: turnFields("over-" + f.attempt())}.head()
		if _, err := io.WriteString(connection, head); err == nil && announced {
			_ = sendBytes(connection, farOver)
		} else if err == nil {
			_ = sendChunks(connection, farOver, 64<<10)
		}
		hold(ctx, connection)
	})
}

// wholeTurn sends a complete turn, begun as a new program, and reads its answer.
func (f *fixture) wholeTurn(ctx context.Context, program string, more ...string) (attempt string, status int) {
	connection := connect(ctx, f.front)
	if connection == nil {
		return "", 0
	}
	defer connection.Close()
	attempt = f.attempt()
	head := request{path: turnPath, attempt: attempt, length: maxBodyBytes, fields: append(turnFields(program), more...)}.head()
	if _, err := io.WriteString(connection, head); err != nil {
		return attempt, 0
	}
	if err := sendBytes(connection, maxBodyBytes); err != nil {
		return attempt, 0
	}
	return attempt, readStatus(connection)
}

// readStatus reads an answer to its end and returns its status, 0 if there is none.
func readStatus(connection net.Conn) int {
	answer, _ := io.ReadAll(connection)
	status := 0
	_, _ = fmt.Sscanf(string(answer), "HTTP/1.1 %d", &status)
	return status
}

func TestTurns_WholeBodiesOfNewPrograms(t *testing.T) {
	f := newFixture(t)
	f.run(bodyClients, func(ctx context.Context, _ int) { f.wholeTurn(ctx, "whole-"+f.attempt(), "Connection: close") })
}

func TestTurns_BegunAndNeverEnded(t *testing.T) {
	f := newFixture(t)
	f.run(bodyClients, func(ctx context.Context, _ int) {
		connection := connect(ctx, f.front)
		if connection == nil {
			return
		}
		fields := append(turnFields("never-"+f.attempt()), "X-Token-Counts: 10,300000")
		head := request{path: turnPath, attempt: f.attempt(), length: maxBodyBytes, fields: fields}.head()
		if _, err := io.WriteString(connection, head); err == nil {
			_ = sendBytes(connection, maxBodyBytes)
		}
		readSlowly(ctx, connection)
	})
}

func TestTurns_LongChainsContinuedAtOnce(t *testing.T) {
	f := newFixture(t)
	f.run(chainClients, func(ctx context.Context, client int) {
		program, previous := fmt.Sprintf("chain-%d-%s", client, f.attempt()), ""
		for ctx.Err() == nil {
			fields := []string{"Connection: close"}
			if previous != "" {
				fields = append(fields, "Previous: "+previous)
			}
			attempt, status := f.wholeTurn(ctx, program, fields...)
			if status != http.StatusOK {
				return
			}
			previous = attempt
		}
	})
}

func TestHeads_NeverEnd(t *testing.T) {
	f := newFixture(t)
	field := "X-Filler: " + strings.Repeat("x", 1000) + "\r\n"
	f.run(headClients, func(ctx context.Context, client int) {
		connection := connect(ctx, f.front)
		if connection == nil {
			return
		}
		if client%2 == 0 {
			if _, err := io.WriteString(connection, "POST "+plainPath+" HTTP/1.1\r\nHost: "+localtier.Host+"\r\n"); err == nil {
				_, _ = io.WriteString(connection, strings.Repeat(field, 15))
			}
		}
		hold(ctx, connection)
	})
}

// pipelined sends requests one behind the other without reading an answer.
func TestRequests_PipelinedAndAnswersUnread(t *testing.T) {
	f := newFixture(t)
	f.run(headClients, func(ctx context.Context, _ int) {
		connection := connect(ctx, f.front)
		if connection == nil {
			return
		}
		defer connection.Close()
		for range 2000 {
			head := request{path: plainPath, attempt: f.attempt(), length: 4000}.head()
			if _, err := io.WriteString(connection, head+strings.Repeat("x", 4000)); err != nil {
				return
			}
		}
	})
}

func TestAnswers_LongAndReadSlowly_PlainRoute(t *testing.T) {
	f := newFixture(t)
	f.run(slowReaders, f.slowReader(filePath, "X-Token-Counts: 10,6"))
}

func TestAnswers_LongAndReadSlowly_StreamedRoute(t *testing.T) {
	f := newFixture(t)
	f.run(slowReaders, f.slowReader(streamPath, "X-Token-Counts: 10,300000"))
}

func TestAnswers_LongAndReadSlowly_RememberedRoute(t *testing.T) {
	f := newFixture(t)
	f.run(slowReaders, f.slowReader(turnPath, "X-Token-Counts: 10,300000"))
}

// slowReader requests a long answer and reads it slowly.
func (f *fixture) slowReader(path, tokenCounts string) func(ctx context.Context, client int) {
	return func(ctx context.Context, _ int) {
		connection := connect(ctx, f.front)
		if connection == nil {
			return
		}
		_ = connection.(*net.TCPConn).SetReadBuffer(receiveBuffer)
		attempt := f.attempt()
		fields := []string{"Program: slow-" + attempt, "Budget: 100000000", tokenCounts, timeLeftHeader + ": 30000"}
		_, _ = io.WriteString(connection, request{path: path, attempt: attempt, fields: fields}.head())
		readSlowly(ctx, connection)
	}
}

func TestAnswers_LongAndReadAtOnce_RememberedRoute(t *testing.T) {
	f := newFixture(t)
	f.run(slowReaders, func(ctx context.Context, _ int) {
		connection := connect(ctx, f.front)
		if connection == nil {
			return
		}
		defer connection.Close()
		attempt := f.attempt()
		fields := []string{"Program: long-" + attempt, "Budget: 100000000", "X-Token-Counts: 10,300000", "Connection: close"}
		if _, err := io.WriteString(connection, request{path: turnPath, attempt: attempt, fields: fields}.head()); err == nil {
			_, _ = io.Copy(io.Discard, connection)
		}
	})
}

func TestOperatorAPI_OrdersStopShort(t *testing.T) {
	f := newFixture(t)
	controllers := f.tier.Addresses(localtier.CoreClass, localtier.ControlPort)
	const orderBytes = 8 << 20
	f.run(orderClients, func(ctx context.Context, client int) {
		connection := connect(ctx, controllers[client%len(controllers)])
		if connection == nil {
			return
		}
		head := fmt.Sprintf("PUT /mastusher/settings HTTP/1.1\r\nHost: control\r\nIf-Match: 1\r\nContent-Length: %d\r\n\r\n", orderBytes)
		if _, err := io.WriteString(connection, head+`{"number":`); err == nil {
			_ = sendBytes(connection, orderBytes-shortOfEnd)
		}
		hold(ctx, connection)
	})
}

func TestReadiness_LargeHeadsAndIdleConnections(t *testing.T) {
	f := newFixture(t)
	address := f.tier.Addresses(localtier.EdgeClass, localtier.ReadinessPort)[0]
	field := "X-Filler: " + strings.Repeat("x", 1000) + "\r\n"
	f.run(headClients, func(ctx context.Context, client int) {
		connection := connect(ctx, address)
		if connection == nil {
			return
		}
		if client%2 == 0 {
			if _, err := io.WriteString(connection, "GET /mastusher/ready HTTP/1.1\r\nHost: ready\r\n"); err == nil {
				_, _ = io.WriteString(connection, strings.Repeat(field, 900))
			}
		}
		hold(ctx, connection)
	})
}

func TestInternalPorts_LinesWithoutEnd(t *testing.T) {
	cases := []struct {
		name  string
		class string
		port  wire.PortOffset
	}{
		{"agent", localtier.EdgeClass, wire.AgentPort},
		{"controller", localtier.CoreClass, wire.ControllerPort},
		{"store", localtier.StorageClass, wire.StorePort},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			addresses := f.tier.Addresses(test.class, localtier.FirstPort+test.port)
			f.run(lineClients, func(ctx context.Context, client int) {
				connection := connect(ctx, addresses[client%len(addresses)])
				if connection == nil {
					return
				}
				if _, err := io.WriteString(connection, `{"call":1,"method":"turn.begin","body":{"shard":0,"turn":{"turn":"`); err == nil {
					_ = sendBytes(connection, 24<<20)
				}
				hold(ctx, connection)
			})
		})
	}
}

// TestRequest_LargestInsideTheLimits_ServedInCalm shows that the limits leave room for a single request at each of them.
func TestRequest_LargestInsideTheLimits_ServedInCalm(t *testing.T) {
	f := newFixture(t)
	for _, path := range []string{plainPath, streamPath, turnPath} {
		for _, chunked := range []bool{false, true} {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			connection := connect(ctx, f.front)
			if connection == nil {
				t.Fatal("connection refused")
			}
			attempt := f.attempt()
			fields := append(turnFields("calm-"+attempt), "Connection: close")
			head := request{path: path, attempt: attempt, length: maxBodyBytes, chunked: chunked, fields: fields}.head()
			_, _ = io.WriteString(connection, head)
			if chunked {
				_ = sendChunks(connection, maxBodyBytes, 64<<10)
				_, _ = io.WriteString(connection, "0\r\n\r\n")
			} else {
				_ = sendBytes(connection, maxBodyBytes)
			}
			if status := readStatus(connection); status != http.StatusOK {
				t.Errorf("%s, chunked %v: status %d", path, chunked, status)
			}
			cancel()
		}
	}
	f.checkProcesses()
}

// A request's head inside maxHeaderBytes must not take many times its bytes: with thousands of small fields it did, in each request that an
// endpoint was at work on.
func TestHeads_ManySmallFields_MemoryStaysWithinLimit(t *testing.T) {
	const headBytes = 15 << 10 // inside maxHeaderBytes of the configuration
	fields := strings.TrimSuffix(strings.ReplaceAll(manyFields(headBytes*5/6), "\n", "\r\n"), "\r\n")
	t.Run("complete, while endpoints are at work", func(t *testing.T) {
		f := newFloodFixture(t, 0)
		f.flooded = []string{fields}
		silent := flood{moment: afterRequest, head: ordinaryHead, framing: chunkFraming, body: lettersBody, pace: stalled, stallAt: 10}
		f.flood(headClients, floodTime, func() flood { return silent })
	})
	t.Run("incomplete", func(t *testing.T) {
		f := newFixture(t)
		f.run(headClients, func(ctx context.Context, _ int) {
			connection := connect(ctx, f.front)
			if connection == nil {
				return
			}
			_, _ = io.WriteString(connection, "POST "+plainPath+" HTTP/1.1\r\nHost: "+localtier.Host+"\r\n"+fields+"\r\n")
			hold(ctx, connection)
		})
	})
}
