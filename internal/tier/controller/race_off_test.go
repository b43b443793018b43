//go:build !race

package controller

// pairStride is the interval at which pairs of faults are run; the others are skipped.
const pairStride = 1

// raceEnabled reports whether the race detector is on, which makes long scenarios slow.
const raceEnabled = false

// lossesPerRun is the number of losses in a random run before the final fault.
const lossesPerRun = 6
