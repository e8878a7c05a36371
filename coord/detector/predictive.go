package detector

import (
	"math"
	"time"
)

const (
	// coefficients of the model: constant, two autoregressive terms and one
	// moving average term.
	coefficients = 4
	// forgetting is the weight of an observation relative to the next one;
	// its memory is about 200 observations.
	forgetting = 0.995
	// initialCovariance expresses that the first coefficients are guesses.
	initialCovariance = 10
	// maxCovariance stops the growth of the covariance while the intervals
	// carry no information; without it the estimate becomes unstable.
	maxCovariance = 1e4
)

// PredictiveConfig describes a predictive detector.
type PredictiveConfig struct {
	Bounds
	// Window is the number of recent prediction errors used.
	Window int
	// Factor is how many mean absolute errors the timeout lies above the
	// corrected prediction.
	Factor float64
	// Margin is added to the timeout.
	Margin time.Duration
}

// Predictive predicts the next arrival interval with an ARMA(2,1) model and
// corrects the prediction by the mean of recent errors, after Zhu Wei, Zhuang
// Yi and Xu Chaoqun, "A Double-Layer Heartbeat Detection Algorithm Orienting
// to Embedded Heterogeneous Cluster". The estimation of the coefficients is
// this package's own choice: recursive extended least squares, whose cost for
// each observation is constant.
type Predictive struct {
	cfg  PredictiveConfig
	last time.Duration
	// theta are the coefficients; input are the values they apply to:
	// 1, the last two intervals and the last error, in seconds.
	theta      [coefficients]float64
	input      [coefficients]float64
	covariance [coefficients][coefficients]float64
	prediction float64
	errors     window
	absolute   window
	seen       int
	timeout    time.Duration
}

// NewPredictive returns a detector that counts from now on.
func NewPredictive(now time.Duration, cfg PredictiveConfig) *Predictive {
	p := &Predictive{cfg: cfg, last: now, timeout: cfg.clamp(cfg.Initial)}
	p.errors = newWindow(cfg.Window)
	p.absolute = newWindow(cfg.Window)
	p.reset()
	return p
}

// reset starts the estimation with the model "the next interval is like the
// last one".
func (p *Predictive) reset() {
	p.theta = [coefficients]float64{0, 1, 0, 0}
	p.covariance = [coefficients][coefficients]float64{}
	for i := range p.covariance {
		p.covariance[i][i] = initialCovariance
	}
}

// Observe implements Detector. An interval counts as Max at most.
func (p *Predictive) Observe(now time.Duration) {
	if now < p.last {
		return
	}
	interval := min(now-p.last, p.cfg.Max).Seconds()
	p.last = now
	p.seen++
	miss := 0.0
	if p.seen > 2 {
		miss = interval - p.prediction
		p.errors.add(miss)
		p.absolute.add(math.Abs(miss))
		p.learn(interval)
	}
	p.input = [coefficients]float64{1, interval, p.input[1], miss}
	p.prediction = p.predict()
	if p.seen < minIntervals {
		return
	}
	seconds := p.prediction + p.errors.mean() + p.cfg.Factor*p.absolute.mean()
	p.timeout = p.cfg.clamp(fromSeconds(seconds) + p.cfg.Margin)
}

// predict applies the model. The result is kept within the range of intervals,
// because an unstable estimate must not produce an absurd timeout.
func (p *Predictive) predict() float64 {
	sum := 0.0
	for i := range p.theta {
		sum += p.theta[i] * p.input[i]
	}
	if math.IsNaN(sum) {
		p.reset()
		return p.input[1]
	}
	return min(max(sum, 0), p.cfg.Max.Seconds())
}

// learn updates the coefficients with the interval that followed the input.
func (p *Predictive) learn(interval float64) {
	var gain [coefficients]float64
	scale := forgetting
	estimate := 0.0
	for i := range gain {
		for j := range gain {
			gain[i] += p.covariance[i][j] * p.input[j]
		}
		scale += p.input[i] * gain[i]
		estimate += p.theta[i] * p.input[i]
	}
	for i := range gain {
		p.theta[i] += gain[i] / scale * (interval - estimate)
	}
	p.shrink(gain, scale)
}

// shrink updates the covariance after an observation.
func (p *Predictive) shrink(gain [coefficients]float64, scale float64) {
	largest := 0.0
	for i := range gain {
		for j := range gain {
			p.covariance[i][j] -= gain[i] * gain[j] / scale
			p.covariance[i][j] /= forgetting
		}
		largest = max(largest, p.covariance[i][i])
	}
	if largest <= maxCovariance {
		return
	}
	for i := range gain {
		for j := range gain {
			p.covariance[i][j] *= maxCovariance / largest
		}
	}
}

// Suspect implements Detector.
func (p *Predictive) Suspect(now time.Duration) bool { return now-p.last > p.timeout }

// Timeout returns the current timeout.
func (p *Predictive) Timeout() time.Duration { return p.timeout }
