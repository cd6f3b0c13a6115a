// Package config holds the typed configuration that operators submit: services of a model, routes, limits. It reads and checks the
// product's own JSON document and reports every violation with its path.
package config
