// Package expert plans the placement of experts on the ranks of a lock-step
// group and switches the group from one expert map to the next.
package expert
