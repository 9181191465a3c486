// Package succession replaces the primary of a group whose platform promotes an endpoint when told to, so that no acknowledged commit is lost and no two instances work against each other. Watch and Succession decide and know no clock; Coordinator asks the endpoints and gives the orders.
package succession
