// Package scheduler decides which replica serves a request, when, and in which order: admission by expected time to first token,
// placement by prefix holdings and load, division of capacity between routers, the budget of second attempts, slow start of replicas that warm up and
// ejection of outliers. It is a state machine over tables of entities with dense indices; package router drives it.
package scheduler
