// Package ledger reads the ledgers that stand-in replicas and clients write and checks that no request was lost or ran twice.
package ledger
