// Package layout holds the test of which packages may import which.
package layout
