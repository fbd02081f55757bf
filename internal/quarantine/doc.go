// Package quarantine recognizes requests by what they ask for.
package quarantine
