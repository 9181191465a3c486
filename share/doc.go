// Package share lets callers that wait at the same time share one run of an inquiry.
package share
