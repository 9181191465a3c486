// Package group is a stand-in for a vendor's database group: members that speak the PostgreSQL protocol, replicate asynchronously and can be made to fail.
package group
