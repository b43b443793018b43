//go:build !race

package localtiertest

// raceDetector says whether the tests run with the race detector; the tier's processes then do so, too.
const raceDetector = false
