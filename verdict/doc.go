// Package verdict says whether a request that failed may have run.
package verdict
