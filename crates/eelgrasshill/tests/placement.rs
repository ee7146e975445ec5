//! Every model stays reachable while engines and hosts go, and no memory is overcommitted.

#![expect(clippy::unwrap_used, reason = "a test stops at its first failure")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eelgrasshill::{Deployment, DeploymentSettings, Example, LogSession};
use eelgrasshill_domain::{ConfigRecord, Edit, ModelName, RowChange, RowKey};
use serde_json::json;

/// Longest time until all models are resident in all zones.
const RESIDENT: Duration = Duration::from_mins(3);

async fn ask(address: SocketAddr, key: &str, model: &str) -> (u16, String) {
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

fn check_memory(deployment: &Deployment) {
    for engine in &deployment.engines {
        let counts = engine.handle.counts();
        let report = engine.handle.report();
        assert_eq!(counts.overcommits, 0, "{}", report.host);
        assert!(counts.peak <= report.memory, "{}: {counts:?}", report.host);
    }
}

#[actix::test]
async fn models_stay_reachable_while_an_engine_a_host_and_a_version_go() {
    let settings = DeploymentSettings {
        hosts: 2,
        speed: 4,
        ..DeploymentSettings::new(Example::Kjallaravakt)
    };
    let mut deployment = Deployment::start(settings).await.unwrap();
    let zones = Example::Kjallaravakt.zones().unwrap();
    assert_eq!(
        deployment.wait_resident(&zones, RESIDENT).await,
        Vec::<String>::new()
    );
    let key = deployment.issue_key("vettvangur").await.unwrap();
    let key = key.reveal();
    let models: Vec<ModelName> = deployment.tables.models.keys().cloned().collect();

    // An engine dies: its models are served from elsewhere at once and are loaded again.
    let gone = deployment.engines.remove(0);
    drop(gone);
    for model in &models {
        let (status, body) = ask(deployment.address(0), key, model.as_str()).await;
        assert_eq!(status, 200, "{model}: {body}");
    }
    check_memory(&deployment);

    // The host that orders in the first zone dies, and a model gets a new version.
    let fenced = |host: &eelgrasshill_entry::EntryHost| {
        host.shared().status.load()["holder-fence"].is_number()
            && host.shared().settings.zone == zones[0]
    };
    let holder = deployment
        .hosts
        .iter()
        .position(fenced)
        .expect("the first zone has a holder");
    deployment.hosts.remove(holder).kill();
    let model = &models[0];
    let mut row = deployment.tables.models[model].clone();
    row.version = "2".to_owned();
    let mut session = LogSession::open(deployment.log.address).await.unwrap();
    let key_of = RowKey::Model(model.clone());
    let base = session.fold().version(&key_of);
    let change = RowChange {
        key: key_of,
        base,
        row: Some(row.into()),
    };
    let edit = Edit {
        author: "test".to_owned(),
        changes: vec![change],
    };
    session.publish(ConfigRecord::Edit(edit)).await.unwrap();
    let began = Instant::now();
    loop {
        let (status, body) = ask(deployment.address(0), key, model.as_str()).await;
        assert_eq!(status, 200, "{model}: {body}");
        let is_new = |zone: &eelgrasshill_domain::ZoneName| {
            deployment.engines.iter().any(|engine| {
                let report = engine.handle.report();
                deployment.tables.hosts[&report.host].zone == *zone
                    && report
                        .resident
                        .iter()
                        .any(|r| r.model == *model && r.version == "2")
            })
        };
        if zones.iter().all(is_new) {
            break;
        }
        assert!(
            began.elapsed() < RESIDENT,
            "the new version is not in every zone"
        );
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    check_memory(&deployment);
    assert!(deployment.drain());
}
