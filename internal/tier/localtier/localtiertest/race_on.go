//go:build race

package localtiertest

// raceDetector says whether the tests run with the race detector; Build then builds the tier's processes with it, too.
const raceDetector = true
