// Package route decides which endpoint serves a request, from what is known of a database's endpoints. It uses no clock
// and no network; callers pass the time.
package route
