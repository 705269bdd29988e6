// Package expert plans which experts each rank of a lock-step group holds and
// switches the group from one expert map to the next.
package expert
