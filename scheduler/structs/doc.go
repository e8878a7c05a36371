// Package structs holds the types that the scheduling, serving and
// configuration packages share. It contains data and small derived values,
// and no decisions.
package structs
