package standin

import "time"

// Bounds of what is accepted and recorded, and the defaults of options and headers.
const (
	maxBodyBytes       = 16 << 20
	maxHeaderBytes     = 64 << 10
	headerTimeout      = 10 * time.Second
	defaultIdleTimeout = time.Minute
	maxRecordedRuns    = 1 << 20 // per RunLog
	maxEvents          = 100_000 // per response
	defaultPageSize    = 50
	defaultPriority    = 5
	lowestPriority     = 9
)

// Names of HTTP headers on requests and responses.
const (
	headerAttempt     = "X-Attempt-Id"
	headerSeal        = "X-Server-Seal"
	headerLoad        = "X-Server-Load"
	headerServer      = "X-Server-Id"
	headerExpected    = "X-Expected-Server"
	headerNotRun      = "X-Not-Run"
	headerTimeLeft    = "X-Time-Left-Ms"
	headerTokenCounts = "X-Token-Counts"
	headerModel       = "X-Model"
	headerLastEvent   = "Last-Event-Id"
	headerVersion     = "Expect-Version"
	headerVersions    = "Versions"
	headerPriority    = "Priority"
	headerProgram     = "Program"
	headerSession     = "Session"
	headerDeadline    = "Finish-Ms"
	headerBudget      = "Budget"
	headerPrevious    = "Previous"
)
