package rules

import "slices"

// nearest returns the known word that is closest to the given one, or "" if
// none is a near miss. Equal distances go to the first word in sort order.
func nearest(word string, known []string) string {
	limit := maxDistance(word)
	best := ""
	sorted := slices.Clone(known)
	slices.Sort(sorted)
	for _, candidate := range sorted {
		d := distance(word, candidate)
		if d <= limit {
			best = candidate
			limit = d - 1
		}
	}
	return best
}

// maxDistance is the number of edits up to which a word counts as a near miss.
func maxDistance(word string) int {
	const lettersPerEdit = 3
	return min(1+len(word)/lettersPerEdit, 3)
}

// distance counts the insertions, deletions, replacements and swaps of
// neighbours that turn a into b. Words whose lengths alone are too far apart
// are not compared.
func distance(a, b string) int {
	if abs(len(a)-len(b)) > maxDistance(a) {
		return len(a) + len(b)
	}
	before := make([]int, len(b)+1)
	previous := make([]int, len(b)+1)
	current := make([]int, len(b)+1)
	for j := range previous {
		previous[j] = j
	}
	for i := 1; i <= len(a); i++ {
		current[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			d := min(previous[j]+1, current[j-1]+1, previous[j-1]+cost)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				d = min(d, before[j-2]+1)
			}
			current[j] = d
		}
		before, previous, current = previous, current, before
	}
	return previous[len(b)]
}

func abs(n int) int {
	if n < 0 {
		return -n
	}
	return n
}
