// Package engine runs beside one rank of a lock-step group: it reads what the rank counted, and one process of each
// group plans the next expert map and directs the group to it.
//
// The lowest of the first few ranks whose process is heard directs. Two at once do no harm, see expert.Director.
package engine
