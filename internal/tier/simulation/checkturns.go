package simulation

import "mastusher/internal/tier/standin"

// checkTurns reports what must not have happened to programs.
func checkTurns(h *history, ledger *standin.Ledger) []string {
	return standin.CheckPlayed(h.programs, ledger, standin.Terms{MostTokens: mostTokens, TokensPerEvent: tokensPerEvent, KeepFor: keepFor})
}
