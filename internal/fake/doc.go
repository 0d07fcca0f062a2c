// Package fake holds small stand-ins of the outside systems, with faults that tests and the demo switch on.
package fake
