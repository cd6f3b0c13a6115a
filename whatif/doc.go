// Package whatif reads experiment plans, runs them in the simulator and prints their results side by side; it also replays HAR files.
package whatif
