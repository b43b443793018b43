//go:build !race

package fleettest

// usualDays is the number of days of an ordinary run of the tests.
const usualDays = 10

// seedShare divides the seeds of stories.
const seedShare = 1
