// Package group decides which endpoint of a database group serves a statement, from what this instance has observed: who leads, how far each log is and how loaded each endpoint is. It uses no clock and no network; callers pass the time.
package group
