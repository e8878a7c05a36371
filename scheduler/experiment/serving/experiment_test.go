package serving_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	experiment "cranberrydrum.dev/scheduler/experiment/serving"
)

// small returns options for a short run of the experiment.
func small(variants []experiment.Variant) experiment.Options {
	return experiment.Options{Seed: 2, Executors: 8, Hosts: 2, Crest: 3, Variants: variants}
}

// TestPeakLoad guards against wrong and lost responses, duplicate runs and false
// "not run" refusals at peak load with any executor fault, and against a
// dispatcher that serves urgent requests no better than the baselines.
func TestPeakLoad(t *testing.T) {
	var variants []experiment.Variant
	for _, v := range experiment.AllVariants() {
		// Skips variants that repeat another one or disable a rule.
		if v.Label == "even" || v.Label == "policy balanced" || v.NoSizeSeparation {
			continue
		}
		if v.Dispatching == experiment.DispatchCranberrydrum || (v.Fault == experiment.FaultNone && v.Shape == "korbfrisch") {
			variants = append(variants, v)
		}
	}
	for _, v := range variants {
		t.Run(fmt.Sprintf("%+v", v), func(t *testing.T) {
			t.Parallel()
			checkRow(t, v, experiment.Run(small([]experiment.Variant{v})).Rows[0])
		})
	}
}

func checkRow(t *testing.T, v experiment.Variant, row experiment.Row) {
	defer func() {
		if t.Failed() {
			t.Logf("%+v", row)
		}
	}()
	if row.Wrong+row.Lost > 0 {
		t.Errorf("%d wrong and %d lost answers", row.Wrong, row.Lost)
	}
	if v.Dispatching != experiment.DispatchCranberrydrum {
		if row.CrestInDeadline > 0.7 {
			t.Errorf("load too low: a baseline answered %.3f of the urgent requests at the peak in time, want at most 0.7", row.CrestInDeadline)
		}
		return
	}
	if row.Doubled+row.FalseNotRun > 0 {
		t.Errorf("%d non-idempotent requests ran more than once, %d requests that ran were refused as not run", row.Doubled, row.FalseNotRun)
	}
	if v.Sharing == experiment.ShareOptimistic {
		return
	}
	if row.MaxLive > 8 {
		t.Errorf("%d live attempts on an executor with 8 slots", row.MaxLive)
	}
	if row.CrestInDeadline < 0.99 {
		t.Errorf("%.3f of the urgent requests at the peak answered in time, want at least 0.99", row.CrestInDeadline)
	}
}

// TestRunIsDeterministic guards against results that depend on map iteration order.
func TestRunIsDeterministic(t *testing.T) {
	options := small(experiment.AllVariants()[12:13])
	first, second := experiment.Run(options).CSV(), experiment.Run(options).CSV()
	if first != second || strings.Count(first, "\n") != 2 {
		t.Fatalf("want equal tables of 2 lines from two runs, got:\n%s%s", first, second)
	}
}

// TestTable prints the table of all variants. It runs only if
// CRANBERRYDRUM_EXPERIMENT is set; its value is the number of seeds.
func TestTable(t *testing.T) {
	if os.Getenv("CRANBERRYDRUM_EXPERIMENT") == "" {
		t.Skip("set CRANBERRYDRUM_EXPERIMENT to run all variants")
	}
	options := experiment.DefaultOptions()
	if repeat, err := strconv.Atoi(os.Getenv("CRANBERRYDRUM_EXPERIMENT")); err == nil {
		options.Repeat = repeat
	}
	table := experiment.Run(options)
	t.Log("\n" + table.String())
}
