package proxy

import (
	"bytes"
	"strconv"
)

// MissingIDError reports that a resumed stream began with an event without an id, so it is unknown whether the client already has the event.
type MissingIDError struct {
	// After is the id of the newest event that the client has.
	After string
}

func (e *MissingIDError) Error() string {
	return "resumed stream: event without an id, but the one after " + strconv.Quote(e.After) + " was expected"
}

// GapError reports that a resumed stream left out an event, although the ids had been consecutive so far.
type GapError struct {
	// After is the id of the newest event that the client has, Got the id of the event that arrived.
	After, Got string
}

func (e *GapError) Error() string {
	return "resumed stream: event " + strconv.Quote(e.Got) + ", but the one after " + strconv.Quote(e.After) + " was expected"
}

// WeightsMismatchError reports that a resumed stream was generated with another version of the model's weights than the events that the
// client has.
type WeightsMismatchError struct{ Expected, Got uint64 }

func (e *WeightsMismatchError) Error() string {
	return "resumed stream: weights version " + strconv.FormatUint(e.Got, 10) + ", but version " + strconv.FormatUint(e.Expected, 10) + " was expected"
}

// weightsVersion is a version of a model's weights, if it is known.
type weightsVersion struct {
	number uint64
	known  bool
}

func parseWeights(text string) weightsVersion {
	n, err := strconv.ParseUint(text, 10, 64)
	return weightsVersion{number: n, known: err == nil}
}

// differ reports whether both versions are known and not equal.
func (w weightsVersion) differ(other weightsVersion) bool {
	return w.known && other.known && w.number != other.number
}

// continuity checks that the events of a replica's response may follow the events that the client already has, which can come from the
// responses of other replicas.
type continuity struct {
	// resumedAfter is the id of the newest event that the client had when the current response started; events up to it are left out.
	resumedAfter []byte
	// anyDelivered is set once any event has been delivered, anyDeliveredFromResponse once an event with an id has been delivered from the
	// current response.
	anyDelivered, anyDeliveredFromResponse bool
	// successors counts the events whose id was the id of the previous event plus one, or 1 at the start of a stream. skippedIDs is set
	// once an event had any other id.
	successors int
	skippedIDs bool
	// currentWeights is the version of the event being parsed, and deliveredWeights that of the newest event delivered. namesWeights is set
	// if the event being parsed names its version itself.
	currentWeights, deliveredWeights weightsVersion
	namesWeights                     bool
}

// setCurrentWeights sets the version that the event being parsed names.
func (c *continuity) setCurrentWeights(version string) {
	c.currentWeights, c.namesWeights = parseWeights(version), true
}

// consecutive reports whether the ids so far are numbers without a gap.
func (c *continuity) consecutive() bool { return c.successors > 0 && !c.skippedIDs }

// StartResponse prepares for the response of the next replica, which follows the last event delivered. It drops the incomplete event of the
// previous response. The parameter version is the weights version in the header of the new response, or empty.
func (e *EventStream) StartResponse(version string) {
	e.buf, e.parsed, e.eventStart = e.buf[:0], 0, 0
	e.endsInCR, e.loneCR, e.eventHasID, e.eventHasField = false, false, false, false
	e.continuity.resumedAfter, e.continuity.anyDeliveredFromResponse, e.continuity.namesWeights = append(e.continuity.resumedAfter[:0], e.LastID...), false, false
	e.continuity.currentWeights = parseWeights(version)
}

// ExpectedVersion returns the weights version with which a stream must be resumed, or an empty string if none is known.
func (e *EventStream) ExpectedVersion() string {
	if !e.continuity.deliveredWeights.known {
		return ""
	}
	return strconv.FormatUint(e.continuity.deliveredWeights.number, 10)
}

// AcceptsVersion reports whether a response whose header names the weights version may follow the events delivered.
func (e *EventStream) AcceptsVersion(version string) bool {
	return !e.continuity.deliveredWeights.differ(parseWeights(version))
}

// checkContinuity returns an error if the event just parsed must not follow the events delivered from an earlier response.
func (e *EventStream) checkContinuity() error {
	c := &e.continuity
	if !c.anyDelivered || len(c.resumedAfter) == 0 || !e.eventHasField || !e.isNew() {
		return nil
	}
	if !c.anyDeliveredFromResponse && !e.eventHasID {
		return &MissingIDError{After: string(c.resumedAfter)}
	}
	if !c.anyDeliveredFromResponse && c.consecutive() && !succeeds(e.eventID, c.resumedAfter) {
		return &GapError{After: string(c.resumedAfter), Got: string(e.eventID)}
	}
	unannounced := !c.anyDeliveredFromResponse && !c.namesWeights
	if c.deliveredWeights.differ(c.currentWeights) && (unannounced || c.currentWeights.number < c.deliveredWeights.number) {
		return &WeightsMismatchError{Expected: c.deliveredWeights.number, Got: c.currentWeights.number}
	}
	return nil
}

// isNew reports whether the event just parsed comes after those that the client has.
func (e *EventStream) isNew() bool {
	return !e.eventHasID || len(e.continuity.resumedAfter) == 0 || comesAfter(e.eventID, e.continuity.resumedAfter)
}

// recordDelivery updates the state for the event just parsed, which is about to be delivered.
func (e *EventStream) recordDelivery() {
	if !e.eventHasField {
		return
	}
	c := &e.continuity
	c.anyDelivered = true
	if c.currentWeights.known {
		c.deliveredWeights = c.currentWeights
	}
	if !e.eventHasID {
		e.CannotResume = true
		return
	}
	previous := e.newLastID
	if len(previous) == 0 {
		previous = []byte(e.LastID)
	}
	if succeeds(e.eventID, previous) {
		c.successors++
	} else {
		c.skippedIDs = c.skippedIDs || len(previous) > 0
	}
	e.newLastID, c.anyDeliveredFromResponse = append(e.newLastID[:0], e.eventID...), true
	_, err := parseNumber(e.eventID)
	e.CannotResume = err != nil
}

func parseNumber(id []byte) (uint64, error) { return strconv.ParseUint(string(id), 10, 64) }

// succeeds reports whether id is the number after last, or 1 if last is empty.
func succeeds(id, last []byte) bool {
	n, err := parseNumber(id)
	if err != nil {
		return false
	}
	if len(last) == 0 {
		return n == 1
	}
	previous, err := parseNumber(last)
	return err == nil && n == previous+1
}

// comesAfter reports whether the event with one id comes after that with another. Ids that are not numbers have no known order; for them it
// reports whether they differ.
func comesAfter(id, last []byte) bool {
	a, errA := parseNumber(id)
	b, errB := parseNumber(last)
	if errA != nil || errB != nil {
		return !bytes.Equal(id, last)
	}
	return a > b
}
