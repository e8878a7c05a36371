package serving

import (
	"testing"
)

// TestStragglerDependsOnAttemptOnly guards against straggler draws that depend on
// earlier draws, which make variants with one seed differ by chance, and against
// a share of stragglers that differs from stragglerShare.
func TestStragglerDependsOnAttemptOnly(t *testing.T) {
	const attempts = 200_000
	s := &simulation{options: Options{Seed: 5}}
	drawn, changed := 0, 0
	for i := range attempts {
		x := &attempt{request: &request{index: i}, number: 1}
		first := drawStragglerFactor(s.attemptRand(x))
		if first != 1 {
			drawn++
		}
		if drawStragglerFactor(s.attemptRand(x)) != first {
			changed++
		}
	}
	if changed > 0 {
		t.Errorf("%d of %d attempts: second draw of the straggler factor differs from the first", changed, attempts)
	}
	share := float64(drawn) / attempts
	if share < 0.9*stragglerShare/2 || share > 1.1*stragglerShare/2 {
		t.Errorf("share of stragglers among attempts: got %.4f, want %.4f within 10 %%", share, stragglerShare/2)
	}
}
