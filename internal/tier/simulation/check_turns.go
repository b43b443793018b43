package simulation

import "mastusher/internal/tier/standin"

// checkTurns returns the violated guarantees of the programs' turns.
func checkTurns(h *history, runLog *standin.RunLog) []string {
	return standin.CheckPrograms(h.programs, runLog, standin.Guarantees{MaxTokens: maxTokens, TokensPerEvent: tokensPerEvent, Retention: retention})
}
