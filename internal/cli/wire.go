package cli

// roles returns what runs a process of each role.
func roles() map[string]Role {
	return map[string]Role{}
}
