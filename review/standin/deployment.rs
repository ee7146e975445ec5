//! The configuration of a small deployment.

use crate::consumer::{HOST, KEY};

/// Route of a configuration.
pub struct Route<'a> {
    pub path: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
    pub objective_ms: u64,
    pub max_attempts: u32,
    /// Further fields, each with a comma before it.
    pub more: &'a str,
}

/// Returns a configuration with these routes, one service of engines and one plain service.
pub fn config(routes: &[Route<'_>], has_engines: bool) -> String {
    let routes: Vec<_> = routes
        .iter()
        .enumerate()
        .map(|(number, route)| {
            format!(
                r#"{{"name":"route-{number}","host":"{HOST}","path_prefix":"{}","kind":"{}","service":"{}","timeout_ms":{},"target_latency_ms":{},"max_attempts":{},"priority":0{}}}"#,
                route.path,
                route.kind,
                route.service,
                route.timeout_ms,
                route.objective_ms,
                route.max_attempts,
                route.more
            )
        })
        .collect();
    let engine = if has_engines {
        r#","engine":{"models":[{"name":"m1","weights_mb":34300,"load_s":1.2,"adapters":0,"adapter_mb":40}],"weights_mb":200000,"adapter_slots":8,"loads_per_s":2.5}"#
    } else {
        ""
    };
    format!(
        r#"{{"version":3,"routes":[{}],"services":[{{"name":"adstod","health_path":"/health","max_connections":822{engine}}},{{"name":"utkall","health_path":"/health","max_connections":244}}],"tenants":[{{"name":"hule930","api_keys":["{KEY}"],"rate_per_s":0,"burst":0,"plain_tokens":200}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(",")
    )
}
