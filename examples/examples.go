// Package examples embeds the example rules files, so that the demo and the
// tests use the files that the documentation shows.
package examples

import _ "embed"

// Korbfrisch is the rules file of the Korbfrisch deployment.
//
//go:embed korbfrisch.rules
var Korbfrisch string

// Remada is the rules file of the Remada deployment.
//
//go:embed remada.rules
var Remada string
