//! The entry host: traffic threads, one control thread, metrics and drain.
