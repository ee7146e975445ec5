//! Tests which connection is closed for a new one.

use std::time::Duration;

use eelgrasshill_ports::{Connection, ConnectionLimit, ConnectionPhase};

use ConnectionPhase::{Idle, Receiving, Serving};

/// Longer than the time from which on a request counts as stalled.
const STALLED: Duration = Duration::from_millis(600);

/// Time between two phases, so that their order is known.
const STEP: Duration = Duration::from_millis(5);

struct Case {
    name: &'static str,
    /// Phases of the connections in the order in which they begin, and whether they are old.
    connections: [(ConnectionPhase, bool); 3],
    /// Which one is closed; none if the new one is rejected.
    closed: Option<usize>,
}

async fn is_closed(connection: &Connection) -> bool {
    let closed = tokio::time::timeout(STEP, connection.closed()).await;
    closed.is_ok()
}

/// Guards against crowds that keep out new connections, and against closing the wrong one.
#[actix_web::test]
async fn the_connection_that_keeps_the_host_waiting_is_closed() {
    let cases = [
        Case {
            name: "a stalled request before one between requests",
            connections: [(Idle, true), (Receiving, true), (Serving, true)],
            closed: Some(1),
        },
        Case {
            name: "the request that stalled first",
            connections: [(Receiving, true), (Receiving, true), (Receiving, false)],
            closed: Some(0),
        },
        Case {
            name: "between requests before a request that is arriving",
            connections: [(Serving, true), (Receiving, false), (Idle, false)],
            closed: Some(2),
        },
        Case {
            name: "a request that is arriving before none",
            connections: [(Serving, true), (Serving, true), (Receiving, false)],
            closed: Some(2),
        },
        Case {
            name: "no request that is served",
            connections: [(Serving, true), (Serving, true), (Serving, true)],
            closed: None,
        },
    ];
    for case in cases {
        let limit = ConnectionLimit::new("test", case.connections.len());
        let open: Vec<_> = case
            .connections
            .iter()
            .filter_map(|_connection| limit.admit())
            .collect();
        assert_eq!(open.len(), 3, "{}", case.name);
        for is_old in [true, false] {
            for (connection, (phase, _old)) in open
                .iter()
                .zip(case.connections)
                .filter(|(_connection, (_phase, old))| *old == is_old)
            {
                connection.set_phase(phase);
                tokio::time::sleep(STEP).await;
            }
            if is_old {
                tokio::time::sleep(STALLED).await;
            }
        }
        assert_eq!(limit.is_exhausted(), case.closed.is_none(), "{}", case.name);
        assert_eq!(
            limit.admit().is_some(),
            case.closed.is_some(),
            "{}",
            case.name
        );
        for (number, connection) in open.iter().enumerate() {
            let expected = case.closed == Some(number);
            assert_eq!(
                is_closed(connection).await,
                expected,
                "{} {number}",
                case.name
            );
        }
        drop(open);
        assert_eq!(limit.open(), 0, "{}", case.name);
    }
}
