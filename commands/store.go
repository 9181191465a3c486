package commands

import (
	"time"

	"siskincove/platform/rows"
)

const storeTimeout = 15 * time.Second

// StoreFlags say where the platform's store is, for commands that read or publish.
type StoreFlags struct {
	Store string `help:"Address of the platform's store, IP:port." env:"SISKINCOVE_STORE" required:""`
}

func (f *StoreFlags) client() *rows.Client { return rows.New(f.Store) }
