//! Builds the status document of the host, its peers and the engines.

use std::sync::Arc;

use eelgrasshill_domain::Moment;
use serde_json::json;

use crate::control::{Control, ServiceClients};

impl<C: ServiceClients> Control<C> {
    /// Replaces the status document served at `/status`.
    pub(crate) fn publish_status(&self, now: Moment) {
        let members: Vec<_> = self
            .members
            .live(now)
            .map(|(host, member)| json!({ "host": host, "zone": member.zone, "offset": member.offset }))
            .collect();
        let engines: Vec<_> = self
            .engines
            .iter()
            .map(|engine| {
                json!({
                    "report": engine.report,
                    "age-ms": u64::try_from(now.since(engine.taken_at).as_millis()).unwrap_or(u64::MAX),
                })
            })
            .collect();
        let age = self.shared.tables_age(now);
        let status = json!({
            "host": self.shared.settings.name,
            "zone": self.shared.settings.zone,
            "incarnation": self.shared.incarnation,
            "ready": self.shared.is_ready(),
            "config": {
                "offset": self.config.last(),
                "age-ms": u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
                "gap": self.config.gap().map(|gap| gap.to_string()),
            },
            "reads-log": self.reads_log,
            "follows": self.followed_peers.keys().collect::<Vec<_>>(),
            "members": members,
            "holder-fence": self.placement.fence(),
            "running": self.shared.dispatcher.running(),
            "engines": engines,
        });
        self.shared.status.store(Arc::new(status));
    }
}
