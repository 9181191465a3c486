// Package coordinator runs a coordinator for each database for which this instance ranks among the first ones. What a
// coordinator does depends on the database's vendor.
package coordinator
