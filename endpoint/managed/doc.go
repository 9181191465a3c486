// Package managed implements endpoint.Vendor for a managed database that exposes its status in a table and is controlled
// by stored procedures.
package managed
