// Package scheduler decides which replica serves a request, when, and in which order. It admits requests by their
// expected time to first token, places them by prefix cache contents and load, divides capacity between routers, limits
// retries to a budget, limits load on replicas during slow start and warm-up, and ejects outliers.
//
// Scheduler is a state machine without I/O or clock. Its tables of Request, Service and Replica rows are addressed by
// index. Package router fills the tables, reports events with methods such as Arrive, ResponseStarted and EndAttempt,
// and carries out the Actions that Tick returns.
package scheduler
