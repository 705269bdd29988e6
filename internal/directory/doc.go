// Package directory chooses the addresses of entries that one caller is told, where there are too many entries to name all.
package directory
