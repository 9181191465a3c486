// Command siskincove is the operators' tool: it checks, plans and publishes objects, shows what is in force and loads a service.
package main
