package fleettest

import "time"

// Shrink leaves faults out of a plan, and makes them shorter, as long as it fails. It runs at most maxRuns days.
func Shrink(plan Plan, maxRuns int, fails func(Plan) bool) Plan {
	attempt := func(smaller Plan) bool {
		if maxRuns == 0 {
			return false
		}
		maxRuns--
		if !fails(smaller) {
			return false
		}
		plan = smaller
		return true
	}
	for size := len(plan.Faults); size > 0 && maxRuns > 0; size /= 2 {
		for start := 0; start+size <= len(plan.Faults); {
			if !attempt(without(plan, start, size)) {
				start += size
			}
		}
	}
	for i := range plan.Faults {
		attempt(shorter(plan, i))
	}
	return plan
}

// without leaves some faults out.
func without(plan Plan, start, count int) Plan {
	remaining := append([]Fault{}, plan.Faults[:start]...)
	plan.Faults = append(remaining, plan.Faults[start+count:]...)
	return plan
}

// shorter halves a fault's time, in whole milliseconds.
func shorter(plan Plan, at int) Plan {
	plan.Faults = append([]Fault{}, plan.Faults...)
	plan.Faults[at].For = (plan.Faults[at].For / 2).Truncate(time.Millisecond)
	return plan
}
