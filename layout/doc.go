// Package layout contains tests of the source tree: which packages may import which, that outer names stay as listed, and
// that the documentation names existing tests. An outer name is one that is read outside the process, such as a setting, a
// flag, a metric or a field of a message; docs/outer-names.txt lists them.
package layout
