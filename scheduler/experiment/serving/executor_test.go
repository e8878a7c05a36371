package serving

import (
	"testing"
)

// TestStragglersBelongToAttempts guards against draws that depend on what was
// drawn before, which make rows of one seed differ by chance, and against a
// share of stragglers other than the stated one.
func TestStragglersBelongToAttempts(t *testing.T) {
	const attempts = 200_000
	s := &simulation{options: Options{Seed: 5}}
	drawn, changed := 0, 0
	for i := range attempts {
		x := &execution{request: &request{index: i}, number: 1}
		first := straggle(s.attemptSource(x))
		if first != 1 {
			drawn++
		}
		if straggle(s.attemptSource(x)) != first {
			changed++
		}
	}
	if changed > 0 {
		t.Errorf("%d of %d attempts draw another time than before", changed, attempts)
	}
	share := float64(drawn) / attempts
	if share < 0.9*stragglerShare/2 || share > 1.1*stragglerShare/2 {
		t.Errorf("share of stragglers %.4f, want about %.4f", share, stragglerShare/2)
	}
}
