//go:build !race

package sim

const raced = false
