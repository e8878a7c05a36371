package detector_test

import (
	"math"
	"os"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cranberrydrum.dev/coord/detector"
	"cranberrydrum.dev/coord/testflags"
)

// TestMain sets the seed and the number of rapid checks, unless the command
// line sets them.
func TestMain(m *testing.M) {
	testflags.SetDefaults(map[string]string{"rapid.seed": "1", "rapid.checks": "300"})
	os.Exit(m.Run())
}

var bounds = detector.Bounds{Initial: 2 * time.Second, Min: 100 * time.Millisecond, Max: 5 * time.Second}

// Guards against timeouts outside the bounds, suspicions that are cleared
// without a heartbeat, and estimates that become unstable on arbitrary
// intervals.
func TestBoundsOnArbitraryArrivals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		detectors := []detector.Detector{
			detector.NewFixed(0, time.Second),
			detector.NewAdaptive(0, detector.AdaptiveConfig{Bounds: bounds, Window: 16, Factor: 4}),
			detector.NewPredictive(0, detector.PredictiveConfig{Bounds: bounds, Window: 16, Factor: 4}),
		}
		now := time.Duration(0)
		intervals := rapid.SliceOfN(rapid.Int64Range(0, int64(20*time.Second)), 0, 300).Draw(t, "intervals")
		for _, interval := range intervals {
			now += time.Duration(interval)
			for _, d := range detectors {
				d.Observe(now)
				d.Observe(now - time.Second)
				if d.Suspect(now+bounds.Min) || !d.Suspect(now+bounds.Max+1) {
					t.Fatalf("%T: suspicion outside the bounds", d)
				}
			}
		}
	})
}

// Guards against a model that does not converge: on a periodic pattern the
// prediction must come within 0.02 s of the next interval after 300 intervals.
func TestPredictiveFollowsPattern(t *testing.T) {
	cfg := detector.PredictiveConfig{Bounds: bounds, Window: 16, Factor: 0}
	p := detector.NewPredictive(0, cfg)
	now := time.Duration(0)
	pattern := []time.Duration{400 * time.Millisecond, 600 * time.Millisecond}
	for i := range 400 {
		next := pattern[i%2]
		if predictionError := math.Abs((p.Timeout() - next).Seconds()); i > 300 && predictionError > 0.02 {
			t.Fatalf("predicted interval %v, actual interval %v", p.Timeout(), next)
		}
		now += next
		p.Observe(now)
	}
}

// Guards against results that differ between runs with equal arguments, and
// against a default detector that often suspects running processes or detects
// crashes late.
func TestCompareIsDeterministicAndDefaultStaysWithinBounds(t *testing.T) {
	candidates := []detector.Candidate{{Name: "default", New: detector.NewDefault}}
	run := func() []detector.Outcome {
		return detector.Compare(1, 5*time.Hour, 200, detector.Links(), candidates)
	}
	first := run()
	if !reflect.DeepEqual(first, run()) {
		t.Fatal("two runs with equal arguments gave different results")
	}
	for _, o := range first {
		if o.DetectMean > 2*time.Second || o.DetectP99 > 2100*time.Millisecond || o.FalsePerHour > 4 {
			t.Errorf("default detector exceeds a bound: %+v", o)
		}
	}
}

// Reports the results of Compare for all candidates, with 200 hours and 2,000
// crashes on each link.
func BenchmarkCompare(b *testing.B) {
	for _, c := range detector.Candidates() {
		for _, l := range detector.Links() {
			b.Run(c.Name+"/"+l.Name, func(b *testing.B) {
				for b.Loop() {
					o := detector.Compare(1, 200*time.Hour, 2000, []detector.Link{l}, []detector.Candidate{c})[0]
					b.ReportMetric(o.FalsePerHour, "false/h")
					b.ReportMetric(float64(o.DetectMean.Milliseconds()), "mean-ms")
					b.ReportMetric(float64(o.DetectP99.Milliseconds()), "p99-ms")
				}
			})
		}
	}
}

// Measures the time of one Observe call.
func BenchmarkObserve(b *testing.B) {
	for _, c := range detector.Candidates() {
		b.Run(c.Name, func(b *testing.B) {
			d := c.New(0)
			now := time.Duration(0)
			for b.Loop() {
				now += 500*time.Millisecond + now%1000
				d.Observe(now)
			}
		})
	}
}
