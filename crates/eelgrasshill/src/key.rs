//! The commands that issue, withdraw and list API keys.

use std::net::SocketAddr;

use eelgrasshill_domain::{ConfigRecord, KeyGrant, KeyId, KeyText, OrgName};

use crate::{CommandError, LogSession};

/// Issues a key and returns its text, which is stored nowhere.
pub(crate) async fn issue(
    log: SocketAddr,
    organisation: OrgName,
    id: KeyId,
) -> Result<String, CommandError> {
    let mut session = LogSession::open(log).await?;
    let text = issue_in(&mut session, organisation, id).await?;
    Ok(format!("{}\n", text.reveal()))
}

/// Issues a key with an open session; the log stores only its digest.
pub(crate) async fn issue_in(
    session: &mut LogSession,
    organisation: OrgName,
    id: KeyId,
) -> Result<KeyText, CommandError> {
    let text = KeyText::issue(&id, &rand::random());
    let grant = KeyGrant {
        digest: text.digest(),
        organisation,
    };
    session
        .publish(ConfigRecord::IssueKey { id, grant })
        .await?;
    Ok(text)
}

/// Withdraws a key permanently.
pub(crate) async fn withdraw(log: SocketAddr, id: KeyId) -> Result<String, CommandError> {
    let mut session = LogSession::open(log).await?;
    let version = session
        .publish(ConfigRecord::WithdrawKey { id: id.clone() })
        .await?;
    Ok(format!("key {id} is withdrawn as of version {version}\n"))
}

/// Lists the valid keys, sorted by id.
pub(crate) async fn list(log: SocketAddr) -> Result<String, CommandError> {
    let session = LogSession::open(log).await?;
    let keys = session.config().keys();
    Ok(keys
        .iter()
        .map(|(id, grant)| format!("{id} acts for {}\n", grant.organisation))
        .collect())
}
