// Package structs holds the types that the scheduling, serving and
// configuration packages share. It contains data and values derived from it,
// but no scheduling logic.
package structs
