//! Tests that every model stays reachable while an engine and an entry host fail and a model
//! changes its version, and that the memory of no engine is overcommitted meanwhile.

#![expect(clippy::unwrap_used, reason = "a test stops at its first failure")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eelgrasshill::{Deployment, DeploymentSettings, Example, LogSession};
use eelgrasshill_domain::{ConfigRecord, Edit, ModelName, RowChange, RowKey};
use serde_json::json;

/// The maximum wait until all models are resident in all zones.
const RESIDENT_TIMEOUT: Duration = Duration::from_mins(3);

async fn send_request(address: SocketAddr, key: &str, model: &str) -> (u16, String) {
    let client = awc::Client::builder()
        .timeout(Duration::from_mins(1))
        .finish();
    let body = json!({ "model": model, "messages": "still there?", "max_tokens": 2 });
    let sent = client
        .post(format!("http://{address}/v1/chat/completions"))
        .insert_header(("authorization", format!("Bearer {key}")))
        .send_json(&body)
        .await;
    let Ok(mut response) = sent else {
        return (0, String::new());
    };
    let body = response.body().await.unwrap();
    (
        response.status().as_u16(),
        String::from_utf8(body.to_vec()).unwrap(),
    )
}

fn assert_no_overcommit(deployment: &Deployment) {
    for engine in &deployment.engines {
        let counts = engine.handle.counts();
        let report = engine.handle.report();
        assert_eq!(
            counts.overcommits, 0,
            "{} received loads beyond its memory",
            report.host
        );
        assert!(
            counts.peak_mb <= report.memory_mb,
            "{}: the peak exceeds the memory of {} MB: {counts:?}",
            report.host,
            report.memory_mb
        );
    }
}

#[actix::test]
async fn models_stay_reachable_after_failures_and_a_version_change() {
    let settings = DeploymentSettings {
        hosts_per_zone: 2,
        speed: 4,
        ..DeploymentSettings::new(Example::Kjallaravakt)
    };
    let mut deployment = Deployment::start(settings).await.unwrap();
    let zones = Example::Kjallaravakt.zones().unwrap();
    assert_eq!(
        deployment.wait_resident(&zones, RESIDENT_TIMEOUT).await,
        Vec::<String>::new(),
        "models not resident in a zone in time"
    );
    let key = deployment.issue_key("vettvangur").await.unwrap();
    let key = key.reveal();
    let models: Vec<ModelName> = deployment.tables.models.keys().cloned().collect();

    // An engine fails: other engines serve its models at once, and they are loaded again.
    let failed_engine = deployment.engines.remove(0);
    drop(failed_engine);
    for model in &models {
        let (status, body) = send_request(deployment.address(0), key, model.as_str()).await;
        assert_eq!(
            status, 200,
            "a request for {model} after the engine failure was refused: {body}"
        );
    }
    assert_no_overcommit(&deployment);

    // The lease holder of the first zone is killed, and a model gets a new version.
    let is_holder = |host: &eelgrasshill_entry::EntryHost| {
        host.shared().status.load()["holder-fence"].is_number()
            && host.shared().settings.zone == zones[0]
    };
    let holder = deployment
        .entry_hosts
        .iter()
        .position(is_holder)
        .expect("no host holds the lease of the first zone");
    deployment.entry_hosts.remove(holder).kill();
    let model = &models[0];
    let mut row = deployment.tables.models[model].clone();
    row.version = "2".to_owned();
    let mut session = LogSession::open(deployment.log.address).await.unwrap();
    let row_key = RowKey::Model(model.clone());
    let base = session.config().version(&row_key);
    let change = RowChange {
        key: row_key,
        base,
        row: Some(row.into()),
    };
    let edit = Edit {
        author: "test".to_owned(),
        changes: vec![change],
    };
    session.publish(ConfigRecord::Edit(edit)).await.unwrap();
    let started = Instant::now();
    loop {
        let (status, body) = send_request(deployment.address(0), key, model.as_str()).await;
        assert_eq!(
            status, 200,
            "a request for {model} during the version change was refused: {body}"
        );
        let is_new = |zone: &eelgrasshill_domain::ZoneName| {
            deployment.engines.iter().any(|engine| {
                let report = engine.handle.report();
                deployment.tables.hosts[&report.host].zone == *zone
                    && report
                        .resident
                        .iter()
                        .any(|resident| resident.model == *model && resident.version == "2")
            })
        };
        if zones.iter().all(is_new) {
            break;
        }
        assert!(
            started.elapsed() < RESIDENT_TIMEOUT,
            "version 2 of {model} is not resident in every zone in time"
        );
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert_no_overcommit(&deployment);
    assert!(deployment.drain(), "a host did not stop in time");
}
