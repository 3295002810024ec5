package room

import (
	"cmp"
	"math"
	"slices"
)

// exceeds reports whether an account was granted more than its fair part of the work of a priority.
//
// The parts are weighted max-min fair: an account that asks for less than its part gets all that it asks for, and what it
// leaves is shared by the others. An account without a weight has the largest weight among the others.
func exceeds(of class, sums map[class]count) bool {
	own := sums[of]
	level := fairLevel(of.priority, sums)
	return float64(own.granted) > level*weightOf(own, maxWeight(sums))
}

// fairLevel returns the part of an account of weight 1 of what was granted at a priority, infinite if that is all that was asked for.
func fairLevel(priority int, sums map[class]count) float64 {
	var accounts []count
	left, weights := 0.0, 0.0
	largest := maxWeight(sums)
	for key, c := range sums {
		if key.priority != priority {
			continue
		}
		c.weight = weightOf(c, largest)
		c.asked = max(c.asked, c.granted)
		accounts = append(accounts, c)
		left += float64(c.granted)
		weights += c.weight
	}
	slices.SortFunc(accounts, func(a, b count) int {
		return cmp.Compare(float64(a.asked)/a.weight, float64(b.asked)/b.weight)
	})
	for _, c := range accounts {
		if level := left / weights; float64(c.asked) > level*c.weight {
			return level
		}
		left -= float64(c.asked)
		weights -= c.weight
	}
	return math.Inf(1)
}

func weightOf(c count, largest float64) float64 {
	if c.weight > 0 {
		return c.weight
	}
	return largest
}

// maxWeight returns the largest weight of the accounts, 1 if none has one.
func maxWeight(sums map[class]count) float64 {
	largest := 0.0
	for _, c := range sums {
		largest = max(largest, c.weight)
	}
	return cmp.Or(largest, 1)
}

// grantedThrough returns the work granted at all priorities and at one of them.
func grantedThrough(priority int, sums map[class]count) (all, own int64) {
	for key, c := range sums {
		all += c.granted
		if key.priority == priority {
			own += c.granted
		}
	}
	return all, own
}

// unmet returns the work that was asked for at a priority and at more urgent ones, and not granted.
func unmet(priority int, sums map[class]count) int64 {
	sum := int64(0)
	for key, c := range sums {
		if key.priority <= priority {
			sum += max(0, c.asked-c.granted)
		}
	}
	return sum
}
