// Package whatif runs what-if experiments in the simulator and compares their results.
//
// A Plan describes a fleet, its load and the faults to inject; Load and Read parse it from JSON, and ReadHAR reads recorded requests that
// can replace its generated load. Plan.Run runs it once for each seed and returns a Result; Write prints results side by side.
package whatif
