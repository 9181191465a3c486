// Package layout contains tests of the source tree: which packages may import which, that names read outside the process
// stay as listed, and that the documentation names existing tests.
package layout
