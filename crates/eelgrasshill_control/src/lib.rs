//! Decisions of one host on configuration, membership and claims.
