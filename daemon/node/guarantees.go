package node

import (
	"errors"

	"cranberrydrum.dev/scheduler/guarantee"
	"cranberrydrum.dev/scheduler/rules"
	"cranberrydrum.dev/scheduler/structs"
)

// CheckGuarantees checks exactly whether all guarantees of a configuration fit
// into their failure domains together. The result depends only on the argument,
// so that all replicas of the configuration reach the same result.
func CheckGuarantees(cfg *structs.Config) []rules.GuaranteeProblem {
	var problems []rules.GuaranteeProblem
	for _, d := range cfg.Domains {
		var own []structs.Guarantee
		for _, g := range cfg.Guarantees {
			if g.Domain == d.Name {
				own = append(own, g)
			}
		}
		if len(own) == 0 {
			continue
		}
		if err := guarantee.Fits(d, own, 0); err != nil {
			problems = append(problems, problemOf(err, d, own))
		}
	}
	return problems
}

// problemOf converts an error of guarantee.Fits. It refers to the guarantee that
// does not fit, if known, and to the first one of the domain otherwise.
func problemOf(err error, d structs.FailureDomain, own []structs.Guarantee) rules.GuaranteeProblem {
	problem := rules.GuaranteeProblem{Line: own[0].Source.Line, Message: err.Error()}
	var doesNotFit *guarantee.DoesNotFitError
	if errors.As(err, &doesNotFit) {
		problem.Line = doesNotFit.Guarantee.Source.Line
		problem.Hint = "reduce a guarantee in " + d.Name + " or add workers"
	}
	return problem
}
