// Package prefixindex tracks what one router believes to be in the prefix cache of each replica. An attempt's prefix
// blocks are predicted when the request is placed, and confirmed when its response starts. Unconfirmed predictions
// expire after a time to live (TTL) that follows the measured time to confirmation.
//
// The scheduler owns an Index. It calls Predict, Confirm and EndAttempt for each attempt, Lookup to compare replicas,
// and Tick as time passes. Parse reads the blocks of a prompt from the header that clients send.
package prefixindex
