// Package engine implements the agent of one rank of a lock-step group. It reads the rank's expert counts from the
// engine and relays commands to it. The agent that coordinates the group also plans its next expert map and switches the
// group to it.
//
// The coordinator is the first responsive agent among those of the lowest ranks. Two coordinators at a time do no harm,
// see expert.HoldCoordinator.
package engine
