package forward

import (
	"errors"
	"io"
)

// hold reads an answer up to its end, to heldBytes, or to what all answers together may
// hold, and tells whether it is whole. The capacity of what it returns is counted in the
// service's bound until the caller releases it. One that is not whole is passed on as it
// comes: it can't be tried elsewhere any more, and the node stays within its memory.
func (current *course) hold(body io.Reader) (content []byte, whole bool, err error) {
	content = make([]byte, 0, firstHeldBytes)
	current.service.HeldResponses.ForceAcquire(firstHeldBytes)
	for {
		if len(content) == cap(content) {
			if !current.growHeld(&content) {
				return content, false, nil
			}
		}
		count, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+count]
		if errors.Is(err, io.EOF) {
			return content, true, nil
		}
		if err != nil {
			return content, false, err
		}
	}
}

// growHeld doubles the room for a held answer, or tells that it may not grow.
func (current *course) growHeld(content *[]byte) bool {
	more := cap(*content)
	if more >= heldBytes || !current.service.HeldResponses.TryAcquire(int64(more)) {
		return false
	}
	grown := make([]byte, len(*content), 2*more)
	copy(grown, *content)
	*content = grown
	return true
}
