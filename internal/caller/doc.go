// Package caller speaks to callers: it tells them which entries to use, routes their
// calls to backend servers and sees that each gets its whole answer or a true refusal.
//
// Lock order: Board.mu and ring locks are leaves; nothing is sent while one is held.
package caller
