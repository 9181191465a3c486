// Package store defines what is used of the platform's store: rows with conditional transactions, ranges, a feed of changes that resumes, and objects.
package store
