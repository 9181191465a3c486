// Package endpoint describes one member of a database group and the vendor interface through which it is asked and told.
package endpoint
