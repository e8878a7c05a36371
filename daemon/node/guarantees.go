package node

import (
	"errors"

	"cranberrydrum.dev/scheduler/guarantee"
	"cranberrydrum.dev/scheduler/rules"
	"cranberrydrum.dev/scheduler/structs"
)

// CheckGuarantees is the exact check that all guarantees of a configuration
// fit their failure domains together. It depends on nothing but its argument,
// so that all replicas of the configuration decide alike.
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

func problemOf(err error, d structs.FailureDomain, own []structs.Guarantee) rules.GuaranteeProblem {
	problem := rules.GuaranteeProblem{Line: own[0].Source.Line, Message: err.Error()}
	var unfit *guarantee.UnfitError
	if errors.As(err, &unfit) {
		problem.Line = unfit.Guarantee.Source.Line
		problem.Hint = "reduce a guarantee in " + d.Name + " or add workers"
	}
	return problem
}
