package simulation

import "mastusher/internal/tier/standin"

// checkTurns reports what must not have happened to programs.
func checkTurns(h *history, runLog *standin.RunLog) []string {
	return standin.CheckPrograms(h.programs, runLog, standin.Guarantees{MaxTokens: maxTokens, TokensPerEvent: tokensPerEvent, Retention: retention})
}
