// Package config defines the typed configuration that operators submit, and reads documents in the product's own JSON format.
//
// Config is a configuration document with its services, routes, tenants and limits. Snapshot is a Config at one version together with the
// evacuated zones; its encoded form is EncodedSnapshot. Read reads and validates a document and reports violations with their paths in an
// InvalidError. Decoder reads JSON objects in this way and is also used for other files of the product.
//
// CachingReader reads successive documents and parses only the services that changed. Package platform reads documents in another format
// and uses SplitCache for the same purpose.
package config
