//! The commands that show tables, the status of a host and the trace of a request.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use eelgrasshill_domain::{RequestId, Version};
use eelgrasshill_ports::{HttpClient, HttpClientSettings};
use eelgrasshill_settings::{render_pools, render_routes};
use serde_json::Value;

use crate::{CommandError, LogSession};

/// Prints or writes the tables in force, marked with the version to edit from.
pub(crate) async fn tables(log: SocketAddr, dir: Option<PathBuf>) -> Result<String, CommandError> {
    let session = LogSession::open(log).await?;
    let from = Version(session.config().last().0);
    let tables = session.config().tables();
    let files = [
        ("routes.ini", render_routes(tables, from)),
        ("pools.ini", render_pools(tables, from)),
    ];
    let Some(dir) = dir else {
        return Ok(files
            .map(|(name, text)| format!("# {name}\n{text}"))
            .concat());
    };
    let mut written = String::new();
    for (name, text) in files {
        let path = dir.join(name);
        let file = path.display().to_string();
        std::fs::write(&path, text).map_err(|cause| CommandError::File {
            file: file.clone(),
            cause,
        })?;
        written += &format!("{file}: version {from}\n");
    }
    Ok(written)
}

async fn get_json(host: SocketAddr, path: &str) -> Result<Value, CommandError> {
    let client = HttpClient::new(HttpClientSettings::default());
    Ok(client.get(host, path, Duration::ZERO).await?)
}

/// Returns the status of a host, its peers and the engines as text.
pub(crate) async fn status(host: SocketAddr) -> Result<String, CommandError> {
    let status = get_json(host, "/status").await?;
    let display_value = |value: &Value| match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    };
    let mut output = format!(
        "host {} in {} is {}\n",
        display_value(&status["host"]),
        display_value(&status["zone"]),
        if status["ready"] == Value::Bool(true) {
            "ready"
        } else {
            "not ready"
        },
    );
    output += &format!(
        "tables: version {}, known to be current {} ms ago\n",
        display_value(&status["config"]["offset"]),
        display_value(&status["config"]["age-ms"]),
    );
    output += &format!("running requests: {}\n", display_value(&status["running"]));
    output += &format!(
        "fencing token of the zone's lease, if held: {}\n",
        display_value(&status["holder-fence"])
    );
    let array_at = |name: &str| status[name].as_array().cloned().unwrap_or_default();
    for member in array_at("members") {
        let (host, zone) = (
            display_value(&member["host"]),
            display_value(&member["zone"]),
        );
        output += &format!(
            "member {host} in {zone}: version {}\n",
            display_value(&member["offset"])
        );
    }
    for engine in array_at("engines") {
        let report = &engine["report"];
        let resident = report["resident"].as_array().cloned().unwrap_or_default();
        let models: Vec<_> = resident
            .iter()
            .map(|model| display_value(&model["model"]))
            .collect();
        output += &format!(
            "engine {}: {} of {} MB, reported {} ms ago, holds {}\n",
            display_value(&report["host"]),
            display_value(&report["used"]),
            display_value(&report["memory"]),
            display_value(&engine["age-ms"]),
            models.join(", "),
        );
    }
    Ok(output)
}

/// Returns the trace of a request as text: its route and each step.
pub(crate) async fn explain(host: SocketAddr, id: &RequestId) -> Result<String, CommandError> {
    let trace = get_json(host, &format!("/explain/{id}")).await?;
    let organisation = trace["organisation"]
        .as_str()
        .unwrap_or("nobody (open route)");
    let mut output = format!(
        "request {id}: route {} for {organisation}, class {}\n",
        trace["route"].as_str().unwrap_or("-"),
        trace["class"].as_str().unwrap_or("-"),
    );
    for step in trace["steps"].as_array().cloned().unwrap_or_default() {
        output += &format!("{:>8} ms  {}\n", step["at"], step["event"]);
    }
    Ok(output)
}
