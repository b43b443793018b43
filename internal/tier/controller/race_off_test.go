//go:build !race

package controller

// pairStride selects the pairs of faults that are run: one in pairStride, and the others are skipped.
const pairStride = 1

// raceEnabled reports whether the race detector is on, which makes long scenarios slow.
const raceEnabled = false

// lossesPerRun is the number of losses in a random run before the final fault.
const lossesPerRun = 6
