// Package group is a test double of a vendor's database group: members that speak the PostgreSQL protocol and replicate
// asynchronously, with injectable faults.
package group
