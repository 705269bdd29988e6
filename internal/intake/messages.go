package intake

const (
	handledCost  = 256      // bytes of frames that a message comes with at most, beside its own
	smallMessage = 16 << 10 // pending bytes up to which nothing is taken for a message that does not end
)

// countMessage counts received bytes as pending until a message is handled.
func (c *Conn) countMessage(received int) (answer string) {
	c.mu.Lock()
	begins := c.pending <= smallMessage && c.pending+int64(received) > smallMessage
	c.pending += int64(received)
	c.mu.Unlock()
	if begins {
		c.holder.Reopen()
	}
	if c.holder.Take(int64(received)) != nil {
		return answerFull
	}
	return ""
}

// MessageHandled records that a message of so many bytes was received whole, or that something was sent in answer.
func (c *Conn) MessageHandled(size int) {
	c.mu.Lock()
	freed := min(c.pending, int64(size+handledCost))
	c.pending -= freed
	done := c.pending <= smallMessage
	c.mu.Unlock()
	if freed > 0 {
		c.holder.Release(freed)
	}
	if done {
		c.holder.Keep() // one that gives way ends by itself
	}
}
