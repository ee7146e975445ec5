//! Traits and HTTP adapters for the log, host list, engines and plain services.
