// Package standin holds stand-ins for the systems around a fleet: a model replica and a client that speak the product's HTTP interface.
package standin
