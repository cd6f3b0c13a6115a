// Package config holds the typed configuration that operators submit: offers of a model, routes, limits. It reads and checks the
// product's own JSON document and reports every flaw with its path.
package config
