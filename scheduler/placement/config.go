package placement

import "time"

// Config holds the scheduler's parameters. Zero values select the defaults.
type Config struct {
	// UrgentGrace is the longest grace period of a job that is preempted for an
	// urgent job. Urgent jobs must start within 4.8 s of submission, so it is at
	// most 2 s.
	UrgentGrace time.Duration
	// ReclaimGrace is the longest grace period of a job that is preempted for a
	// job inside its guarantee, or that is migrated.
	ReclaimGrace time.Duration
	// AgeingPeriod is the wait after which a bulk job has normal priority.
	AgeingPeriod time.Duration
	// StarvationAfter is the wait after which a blocked gang gets a reservation
	// under a balanced policy.
	StarvationAfter time.Duration
	// MaxReservations is the number of gangs that may hold a reservation at the
	// same time under a balanced policy.
	MaxReservations int
	// MigrateAfter is the run time from which a job may be migrated off reserved
	// accelerators.
	MigrateAfter time.Duration
	// BackfillDepth is the number of jobs examined per customer, priority and
	// gang size.
	BackfillDepth int
	// MaxStarts is the number of jobs that one round may start.
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

// withDefaults replaces zero values and limits UrgentGrace to its default.
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
