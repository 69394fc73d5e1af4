package main

// host and service are the names that the configurations of the scenarios use.
const (
	host    = "gate.example"
	service = "app"
)
