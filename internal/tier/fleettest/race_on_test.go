//go:build race

package fleettest

// usualDays is the number of days of an ordinary run of the tests; fewer where each memory access is watched.
const usualDays = 2

// seedShare divides the seeds of stories.
const seedShare = 4
