package detector

import (
	"math"
	"time"
)

const (
	// coefficients is the number of model coefficients: a constant, two
	// autoregressive terms and one moving-average term.
	coefficients = 4
	// forgettingFactor is the weight of an observation relative to the next
	// one. The estimate depends on about the last 200 observations.
	forgettingFactor = 0.995
	// initialCovariance is the variance of each initial coefficient. It is
	// high because these coefficients are guesses.
	initialCovariance = 10
	// maxCovariance bounds the covariance, which grows while all intervals are
	// alike and carry no information. Without the bound the estimate becomes
	// unstable.
	maxCovariance = 1e4
)

// PredictiveConfig configures a Predictive detector.
type PredictiveConfig struct {
	Bounds
	// Window is the number of recent prediction errors in the means.
	Window int
	// Factor is the distance of the timeout from the corrected prediction, in
	// mean absolute errors.
	Factor float64
	// Margin is added to the timeout.
	Margin time.Duration
}

// Predictive predicts the next arrival interval with an ARMA(2,1) model and
// corrects the prediction by the mean of recent errors, after Zhu Wei, Zhuang
// Yi and Xu Chaoqun, "A Double-Layer Heartbeat Detection Algorithm Orienting
// to Embedded Heterogeneous Cluster". The method that estimates the
// coefficients is not from that paper: recursive extended least squares, whose
// cost for each observation is constant.
type Predictive struct {
	cfg  PredictiveConfig
	last time.Duration
	// theta holds the coefficients. regressors holds the values that they
	// multiply: 1, the last two intervals and the last prediction error, in
	// seconds.
	theta      [coefficients]float64
	regressors [coefficients]float64
	covariance [coefficients][coefficients]float64
	// prediction is the expected next interval in seconds.
	prediction     float64
	errors         window
	absoluteErrors window
	observed       int
	timeout        time.Duration
}

// NewPredictive returns a detector that measures the first interval from now.
func NewPredictive(now time.Duration, cfg PredictiveConfig) *Predictive {
	p := &Predictive{cfg: cfg, last: now, timeout: cfg.clamp(cfg.Initial)}
	p.errors = newWindow(cfg.Window)
	p.absoluteErrors = newWindow(cfg.Window)
	p.reset()
	return p
}

// reset restarts the estimation from a model that predicts an interval equal
// to the last one.
func (p *Predictive) reset() {
	p.theta = [coefficients]float64{0, 1, 0, 0}
	p.covariance = [coefficients][coefficients]float64{}
	for i := range p.covariance {
		p.covariance[i][i] = initialCovariance
	}
}

// Observe implements Detector. An interval is counted as at most Max.
func (p *Predictive) Observe(now time.Duration) {
	if now < p.last {
		return
	}
	interval := min(now-p.last, p.cfg.Max).Seconds()
	p.last = now
	p.observed++
	predictionError := 0.0
	if p.observed > 2 {
		predictionError = interval - p.prediction
		p.errors.add(predictionError)
		p.absoluteErrors.add(math.Abs(predictionError))
		p.updateCoefficients(interval)
	}
	p.regressors = [coefficients]float64{1, interval, p.regressors[1], predictionError}
	p.prediction = p.predict()
	if p.observed < minIntervals {
		return
	}
	seconds := p.prediction + p.errors.mean() + p.cfg.Factor*p.absoluteErrors.mean()
	p.timeout = p.cfg.clamp(fromSeconds(seconds) + p.cfg.Margin)
}

// predict returns the predicted next interval in seconds. The result is clamped
// to the range from 0 to Max, because an unstable estimate must not produce an
// absurd timeout.
func (p *Predictive) predict() float64 {
	sum := 0.0
	for i := range p.theta {
		sum += p.theta[i] * p.regressors[i]
	}
	if math.IsNaN(sum) {
		p.reset()
		return p.regressors[1]
	}
	return min(max(sum, 0), p.cfg.Max.Seconds())
}

// updateCoefficients corrects the coefficients by the interval that followed
// the regressors.
func (p *Predictive) updateCoefficients(interval float64) {
	var gain [coefficients]float64
	scale := forgettingFactor
	estimate := 0.0
	for i := range gain {
		for j := range gain {
			gain[i] += p.covariance[i][j] * p.regressors[j]
		}
		scale += p.regressors[i] * gain[i]
		estimate += p.theta[i] * p.regressors[i]
	}
	for i := range gain {
		p.theta[i] += gain[i] / scale * (interval - estimate)
	}
	p.updateCovariance(gain, scale)
}

// updateCovariance updates the covariance after an observation and scales it
// down to maxCovariance.
func (p *Predictive) updateCovariance(gain [coefficients]float64, scale float64) {
	largest := 0.0
	for i := range gain {
		for j := range gain {
			p.covariance[i][j] -= gain[i] * gain[j] / scale
			p.covariance[i][j] /= forgettingFactor
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
