package rules

import "slices"

// closestMatch returns the known word with the smallest edit distance to the
// given one, or "" if all distances are above maxEdits. Among words at the same
// distance, the first in sort order is returned.
func closestMatch(word string, known []string) string {
	limit := maxEdits(word)
	best := ""
	sorted := slices.Clone(known)
	slices.Sort(sorted)
	for _, candidate := range sorted {
		d := editDistance(word, candidate)
		if d <= limit {
			best = candidate
			limit = d - 1
		}
	}
	return best
}

// maxEdits returns the largest edit distance at which a word is suggested: 1
// plus one edit per 3 letters, at most 3.
func maxEdits(word string) int {
	const lettersPerEdit = 3
	return min(1+len(word)/lettersPerEdit, 3)
}

// editDistance returns the number of insertions, deletions, substitutions and
// transpositions of adjacent letters that turn a into b (the optimal string
// alignment distance). If the lengths differ by more than maxEdits(a), it returns
// a larger value without comparing the words.
func editDistance(a, b string) int {
	if abs(len(a)-len(b)) > maxEdits(a) {
		return len(a) + len(b)
	}
	secondPreviousRow := make([]int, len(b)+1)
	previousRow := make([]int, len(b)+1)
	currentRow := make([]int, len(b)+1)
	for j := range previousRow {
		previousRow[j] = j
	}
	for i := 1; i <= len(a); i++ {
		currentRow[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			d := min(previousRow[j]+1, currentRow[j-1]+1, previousRow[j-1]+cost)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				d = min(d, secondPreviousRow[j-2]+1)
			}
			currentRow[j] = d
		}
		secondPreviousRow, previousRow, currentRow = previousRow, currentRow, secondPreviousRow
	}
	return previousRow[len(b)]
}

func abs(n int) int {
	if n < 0 {
		return -n
	}
	return n
}
