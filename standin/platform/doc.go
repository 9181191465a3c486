// Package platform is a stand-in for the platform: a table and an object store with the calls that are used of their protocols, and a list of instances that lags.
package platform
