//go:build !race

package controller

// pairStride is how many pairs of faults there are for each that is run.
const pairStride = 1

// watched tells whether each memory access is watched, which makes long scenarios slow.
const watched = false

// lossesOfARun is how many losses a random run has before the final fault.
const lossesOfARun = 6
