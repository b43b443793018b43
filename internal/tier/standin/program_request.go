package standin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// newRequest returns a request with the headers of all requests of a program.
func (p *Program) newRequest(ctx context.Context, method, path, attempt, session string, body io.Reader) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+p.options.Address+path, body)
	if err != nil {
		return nil, err
	}
	request.Host = p.options.Host
	header := request.Header
	header.Set(headerAttempt, attempt)
	header.Set(headerProgram, p.options.Name)
	header.Set(headerSession, session)
	if finish, bounded := ctx.Deadline(); bounded {
		header.Set(headerDeadline, milliseconds(time.Until(finish)))
	}
	if p.options.RequestTimeout > 0 {
		header.Set(headerTimeLeft, milliseconds(p.options.RequestTimeout))
	}
	return request, nil
}

// milliseconds formats a duration for a header.
func milliseconds(duration time.Duration) string {
	return strconv.FormatInt(duration.Milliseconds(), 10)
}

// sendTurn sends a turn once and enters the response into it. Without a response its status stays 0.
func (p *Program) sendTurn(ctx context.Context, turn *Turn, input string) {
	ctx, cancel := p.withRequestTimeout(ctx)
	defer cancel()
	body := turn.Prompt
	if p.options.Stateful {
		body = input
	}
	request, err := p.newRequest(ctx, http.MethodPost, p.options.TurnPath, turn.Attempt, turn.Session, strings.NewReader(body))
	if err != nil {
		return
	}
	header := request.Header
	header.Set(headerTokenCounts, fmt.Sprintf("%d,%d", len(turn.Prompt), p.options.MaxTokens))
	if p.options.Model != "" {
		header.Set(headerModel, p.options.Model)
	}
	if p.options.Budget > 0 {
		header.Set(headerBudget, strconv.FormatInt(p.options.Budget, 10))
	}
	if p.options.Stateful && turn.Previous != "" {
		header.Set(headerPrevious, turn.Previous)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	turn.Status = response.StatusCode
	turn.Problem = sealProblem(response, turn.Attempt)
	if turn.Status == http.StatusOK {
		turn.read(response.Body)
		return
	}
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxBodyBytes))
	turn.Complete = err == nil
}

// withRequestTimeout bounds a request by the RequestTimeout.
func (p *Program) withRequestTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if p.options.RequestTimeout <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, p.options.RequestTimeout)
}

// read parses the events of a response (server-sent events, of which only id and data occur) and checks each.
func (t *Turn) read(body io.Reader) {
	lines := bufio.NewScanner(io.LimitReader(body, maxBodyBytes))
	lines.Buffer(nil, maxBodyBytes)
	var id int
	var data string
	inEvent := false
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "id":
			id, _ = strconv.Atoi(value)
			inEvent = true
		case "data":
			data = value
			inEvent = true
		case "":
			if inEvent {
				t.addEvent(id, data)
			}
			inEvent = false
		}
	}
	t.Complete = lines.Err() == nil
	if t.Complete && inEvent {
		t.Problem = "the response ends inside an event but looks complete"
	}
}

// addEvent adds an event to the output and checks its id and data.
func (t *Turn) addEvent(id int, data string) {
	t.Events++
	t.Output += data + "\n"
	switch {
	case id != t.Events:
		t.Problem = fmt.Sprintf("received event %d, want event %d", id, t.Events)
	case data != EventData([]byte(t.Prompt), id):
		t.Problem = fmt.Sprintf("event %d has the wrong data %q", id, data)
	}
}

// sendTool sends a tool call once and enters the response into it. Without a response its status stays 0.
func (p *Program) sendTool(ctx context.Context, tool *Tool, session string) {
	ctx, cancel := p.withRequestTimeout(ctx)
	defer cancel()
	request, err := p.newRequest(ctx, http.MethodGet, p.options.ToolPath, tool.Attempt, session, nil)
	if err != nil {
		return
	}
	response, err := p.client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	tool.Status = response.StatusCode
	tool.Problem = sealProblem(response, tool.Attempt)
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	tool.Complete = err == nil
	if tool.Complete && tool.Status == http.StatusOK && !strings.Contains(string(body), " ran "+tool.Attempt+"\n") {
		tool.Problem = fmt.Sprintf("the body is that of another attempt: %.80q", body)
	}
}

// sealProblem returns a sentence if a response with status 200 doesn't carry the seal of an endpoint for this attempt.
func sealProblem(response *http.Response, attempt string) string {
	if response.StatusCode != http.StatusOK {
		return ""
	}
	seal := response.Header.Get(headerSeal)
	if !strings.HasPrefix(seal, "seal.") || !strings.HasSuffix(seal, "."+attempt) {
		return fmt.Sprintf("status 200 with the wrong seal %q", seal)
	}
	return ""
}
