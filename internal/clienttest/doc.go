// Package clienttest starts the program heatherreeld as a process, with stand-ins of the platform's store and of a backend
// server, and checks that clients outside our control neither end it nor make it exceed its memory or its descriptors. It
// has no code besides its tests.
package clienttest
