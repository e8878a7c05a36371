package placement

import "time"

// Config tunes the scheduler. Zero values select the defaults.
type Config struct {
	// UrgentGrace bounds the stop of a victim of an urgent job. Urgent work has
	// 4.8 s in all from submission to start, so it is at most 2 s.
	UrgentGrace time.Duration
	// ReclaimGrace bounds the stop of a victim of a job inside its guarantee.
	ReclaimGrace time.Duration
	// AgeingPeriod raises a bulk job to normal priority after this wait.
	AgeingPeriod time.Duration
	// StarvationAfter is the wait after which a blocked gang gets a reservation.
	StarvationAfter time.Duration
	// MaxReservations bounds the gangs that hold a reservation at a time under
	// a balanced policy setting.
	MaxReservations int
	// MigrateAfter is the run time from which a job may migrate to make room for
	// a reservation.
	MigrateAfter time.Duration
	// BackfillDepth bounds the jobs examined per customer, priority and size.
	BackfillDepth int
	// MaxStarts bounds the starts of one round.
	MaxStarts int
}

// Defaults of Config.
const (
	DefaultUrgentGrace     = 2 * time.Second
	DefaultReclaimGrace    = 30 * time.Second
	DefaultAgeingPeriod    = 2 * time.Hour
	DefaultStarvationAfter = 5 * time.Minute
	DefaultMaxReservations = 8
	DefaultMigrateAfter    = 10 * time.Minute
	DefaultBackfillDepth   = 8
	DefaultMaxStarts       = 1024
)

// withDefaults replaces zero values and bounds the grace of urgent work.
func (c Config) withDefaults() Config {
	c.UrgentGrace = orDefault(c.UrgentGrace, DefaultUrgentGrace)
	c.UrgentGrace = min(c.UrgentGrace, DefaultUrgentGrace)
	c.ReclaimGrace = orDefault(c.ReclaimGrace, DefaultReclaimGrace)
	c.AgeingPeriod = orDefault(c.AgeingPeriod, DefaultAgeingPeriod)
	c.StarvationAfter = orDefault(c.StarvationAfter, DefaultStarvationAfter)
	c.MaxReservations = orDefault(c.MaxReservations, DefaultMaxReservations)
	c.MigrateAfter = orDefault(c.MigrateAfter, DefaultMigrateAfter)
	c.BackfillDepth = orDefault(c.BackfillDepth, DefaultBackfillDepth)
	c.MaxStarts = orDefault(c.MaxStarts, DefaultMaxStarts)
	return c
}

// orDefault returns the value, or the default if the value is not positive.
func orDefault[T int | time.Duration](value, def T) T {
	if value <= 0 {
		return def
	}
	return value
}
