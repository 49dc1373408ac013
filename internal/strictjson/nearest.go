package strictjson

import "slices"

// Nearest returns the one of names with the smallest edit distance to name, or "" if
// none is within a third of the longer name's length. It sorts names.
func Nearest(name string, names []string) string {
	slices.Sort(names)
	best, bestDistance := "", 0
	for _, candidate := range names {
		distance := editDistance(name, candidate)
		if distance > max(len(name), len(candidate))/3 {
			continue
		}
		if best == "" || distance < bestDistance {
			best, bestDistance = candidate, distance
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of a and b in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(row[j+1]+1, row[j]+1, diagonal+cost)
			diagonal, row[j+1] = row[j+1], next
		}
	}
	return row[len(b)]
}
