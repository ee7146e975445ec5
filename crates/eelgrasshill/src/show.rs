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
    let from = Version(session.fold().last().0);
    let tables = session.fold().tables();
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
    let text = |value: &Value| match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    };
    let mut out = format!(
        "host {} in {} is {}\n",
        text(&status["host"]),
        text(&status["zone"]),
        if status["ready"] == Value::Bool(true) {
            "ready"
        } else {
            "not ready"
        },
    );
    out += &format!(
        "tables: version {}, known to be current {} ms ago\n",
        text(&status["config"]["offset"]),
        text(&status["config"]["age-ms"]),
    );
    out += &format!("running requests: {}\n", text(&status["running"]));
    out += &format!("lease of the zone: {}\n", text(&status["holder-fence"]));
    let list = |name: &str| status[name].as_array().cloned().unwrap_or_default();
    for member in list("members") {
        let (host, zone) = (text(&member["host"]), text(&member["zone"]));
        out += &format!(
            "member {host} in {zone}: version {}\n",
            text(&member["offset"])
        );
    }
    for engine in list("engines") {
        let report = &engine["report"];
        let resident = report["resident"].as_array().cloned().unwrap_or_default();
        let models: Vec<_> = resident.iter().map(|model| text(&model["model"])).collect();
        out += &format!(
            "engine {}: {} of {} MB, reported {} ms ago, holds {}\n",
            text(&report["host"]),
            text(&report["used"]),
            text(&report["memory"]),
            text(&engine["age-ms"]),
            models.join(", "),
        );
    }
    Ok(out)
}

/// Returns the trace of a request as text: its route and each step.
pub(crate) async fn explain(host: SocketAddr, id: &RequestId) -> Result<String, CommandError> {
    let trace = get_json(host, &format!("/explain/{id}")).await?;
    let organisation = trace["organisation"]
        .as_str()
        .unwrap_or("nobody (open route)");
    let mut out = format!(
        "request {id}: route {} for {organisation}, class {}\n",
        trace["route"].as_str().unwrap_or("-"),
        trace["class"].as_str().unwrap_or("-"),
    );
    for step in trace["steps"].as_array().cloned().unwrap_or_default() {
        out += &format!("{:>8} ms  {}\n", step["at"], step["event"]);
    }
    Ok(out)
}
