// Package simulation runs the deciding code of the middle (routing, admission, connections, retries) against modelled endpoints and callers, without a network; in a test's bubble of virtual time a day takes a moment.
package simulation
