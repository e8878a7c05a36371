package guarantee

import "math/bits"

// MaxAccelerators is the largest number of accelerators per worker, because a Mask
// has 64 bits. Further accelerators of a worker are not used.
const MaxAccelerators = 64

// maxLevels is the number of slot sizes: seven for cells of 1 to 64 accelerators,
// one for whole workers and one for whole racks.
const maxLevels = 9

// Mask is a set of accelerators of one worker, one bit per accelerator index.
type Mask = uint64

// FullMask returns the mask of the first n accelerators.
func FullMask(n int) Mask {
	if n <= 0 {
		return 0
	}
	if n >= MaxAccelerators {
		return ^Mask(0)
	}
	return Mask(1)<<n - 1
}

// MaskOf returns the mask of accelerator indexes. Indexes out of range are ignored.
func MaskOf(indexes []int) Mask {
	var mask Mask
	for _, i := range indexes {
		if i >= 0 && i < MaxAccelerators {
			mask |= 1 << i
		}
	}
	return mask
}

// Indexes returns the accelerator indexes of a mask in ascending order.
func Indexes(mask Mask) []int {
	indexes := make([]int, 0, bits.OnesCount64(mask))
	for remaining := mask; remaining != 0; remaining &= remaining - 1 {
		indexes = append(indexes, bits.TrailingZeros64(remaining))
	}
	return indexes
}

// alignedStarts[l] has a bit at the start of each aligned cell of level l, which has
// 1<<l accelerators and starts at a multiple of its size.
var alignedStarts = [7]Mask{
	0xffffffffffffffff, 0x5555555555555555, 0x1111111111111111, 0x0101010101010101,
	0x0001000100010001, 0x0000000100000001, 0x0000000000000001,
}

// fullCellStarts returns the starts of the aligned cells of a level that lie
// completely inside the mask.
func fullCellStarts(mask Mask, level int) Mask {
	for l := range level {
		mask &= mask >> (1 << l)
	}
	return mask & alignedStarts[level]
}

// fullCells returns the accelerators in aligned cells of a level that lie
// completely inside the mask.
func fullCells(mask Mask, level int) Mask {
	mask = fullCellStarts(mask, level)
	for l := range level {
		mask |= mask << (1 << l)
	}
	return mask
}

// CellAt returns the mask of the aligned cell of a level that begins at start.
func CellAt(start, level int) Mask {
	return FullMask(1<<level) << start
}

// LargestCell returns the level of the largest aligned cell inside the mask,
// or -1 if the mask is empty.
func LargestCell(mask Mask) int {
	largest := -1
	for l := range len(alignedStarts) {
		if mask == 0 {
			return largest
		}
		if mask&alignedStarts[l] != 0 {
			largest = l
		}
		if l < len(alignedStarts)-1 {
			mask &= mask >> (1 << l)
		}
	}
	return largest
}

// addCells adds the numbers of maximal aligned cells of a mask, times sign, to the
// counts by level. A cell is maximal if it lies in no larger aligned cell of the
// mask; topLevel is the highest level considered.
func addCells(counts *[maxLevels]int, mask Mask, topLevel, sign int) {
	for l := topLevel; l >= 0 && mask != 0; l-- {
		starts := fullCellStarts(mask, l)
		counts[l] += sign * bits.OnesCount64(starts)
		for ; starts != 0; starts &= starts - 1 {
			mask &^= CellAt(bits.TrailingZeros64(starts), l)
		}
	}
}

// enclosingCell returns the smallest aligned cell that contains the mask.
func enclosingCell(mask Mask) (cell Mask, level int) {
	low := bits.TrailingZeros64(mask)
	high := 63 - bits.LeadingZeros64(mask)
	for low>>level != high>>level {
		level++
	}
	return CellAt(low>>level<<level, level), level
}

// Fit returns the accelerators that a gang of size n takes from the free
// accelerators of one worker, and whether it fits. The size is split into powers of
// two, and each takes its accelerators from the smallest free aligned cell that is
// large enough. A size such as 3 thus wastes no accelerators, and large cells stay
// whole.
func Fit(free Mask, n int) (Mask, bool) {
	if n <= 0 || bits.OnesCount64(free) < n {
		return 0, false
	}
	var taken Mask
	for level := bits.Len(uint(n)) - 1; level >= 0; level-- {
		if n>>level&1 == 0 {
			continue
		}
		cell := bestFitCell(free, level)
		if cell == 0 {
			return 0, false
		}
		taken |= cell
		free &^= cell
	}
	return taken, true
}

// bestFitCell returns the first cell of a level inside the smallest maximal free
// cell that contains one, or 0 if there is none.
func bestFitCell(free Mask, level int) Mask {
	if level >= len(alignedStarts) {
		return 0
	}
	starts := fullCellStarts(free, level)
	if starts == 0 {
		return 0
	}
	for outer := level + 1; outer < len(alignedStarts); outer++ {
		inLarger := fullCellStarts(free, outer)
		var covered Mask
		for ; inLarger != 0; inLarger &= inLarger - 1 {
			covered |= CellAt(bits.TrailingZeros64(inLarger), outer)
		}
		if only := starts &^ covered; only != 0 {
			return CellAt(bits.TrailingZeros64(only), level)
		}
		if covered == 0 {
			break
		}
	}
	return CellAt(bits.TrailingZeros64(starts), level)
}
