package commands

import (
	"time"

	"siskincove/platform/rows"
)

const storeTimeout = 15 * time.Second

// StoreFlags are the flags of commands that access the platform's store.
type StoreFlags struct {
	Store string `help:"Address of the platform's store, IP:port." env:"SISKINCOVE_STORE" required:""`
}

func (f *StoreFlags) client() *rows.Client { return rows.New(f.Store) }
