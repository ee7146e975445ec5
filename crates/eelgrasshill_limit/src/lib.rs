//! Decisions on rate and burst of each organisation over all hosts.
