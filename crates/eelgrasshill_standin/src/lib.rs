//! Stand-ins for the platform and upstreams, with a load tool.
