package intake

const (
	handledCost   = 256      // bytes of frames that a message comes with at most, beside its own
	messageFactor = 2        // bytes of memory for each byte of a message: the one that was received and the one that is decoded
	smallMessage  = 16 << 10 // pending bytes up to which nothing is taken for a message that does not end
)

// countMessage counts received bytes as pending until a message is handled.
func (c *Conn) countMessage(received int) (answer string) {
	c.mu.Lock()
	begins := c.pending <= smallMessage && c.pending+int64(received) > smallMessage
	c.pending += int64(received)
	c.mu.Unlock()
	if begins {
		c.holder.Unpin()
	}
	if c.holder.Take(int64(received)*messageFactor) != nil {
		return answerFull
	}
	return ""
}

// MessageHandled records that a message of so many bytes was received whole, or with 0 that something was sent in answer. Of its memory
// so many bytes stay taken; it returns how many the caller has to give back to the Holder.
func (c *Conn) MessageHandled(size, keep int) (kept int64) {
	c.mu.Lock()
	handled := min(c.pending, int64(size+handledCost))
	c.pending -= handled
	done := c.pending <= smallMessage
	c.mu.Unlock()
	kept = min(handled, int64(keep)) * messageFactor
	if freed := handled*messageFactor - kept; freed > 0 {
		c.holder.Release(freed)
	}
	if done {
		c.holder.Pin() // an evicted one ends by itself
	}
	return kept
}
