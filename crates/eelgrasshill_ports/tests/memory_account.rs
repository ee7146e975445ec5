//! Tests the account of a host's memory for requests.

use std::net::{IpAddr, Ipv4Addr};

use eelgrasshill_ports::{
    ConnectionMemory, MemoryAccount, MemoryCharge, MemoryFull, MemoryLimits, MemoryScope,
};

const MB: usize = 1 << 20;

const LIMITS: MemoryLimits = MemoryLimits {
    total: 40 * MB,
    per_address: 30 * MB,
    per_connection: 10 * MB,
};

fn charge(account: &MemoryAccount, last: u8, connection: &ConnectionMemory) -> MemoryCharge {
    let address = IpAddr::V4(Ipv4Addr::new(10, 0, 0, last));
    account.charge(Some(address), connection, 0)
}

/// Guards against a connection, an address or all callers together that exceed their limit.
#[test]
fn each_limit_holds_and_each_release_counts() {
    let account = MemoryAccount::new(LIMITS);
    let full = |scope, held| Err(MemoryFull { scope, held });
    let connection = ConnectionMemory::default();
    let mut first = charge(&account, 1, &connection);
    assert_eq!(first.resize(10 * MB), Ok(()));
    let mut sibling = first.sibling();
    assert_eq!(
        sibling.resize(1),
        full(MemoryScope::Connection, 10 * MB),
        "another charge of the same connection"
    );
    let mut charges = Vec::new();
    for last in [1, 1, 1, 2, 2] {
        let mut next = charge(&account, last, &ConnectionMemory::default());
        charges.push(next.resize(10 * MB));
        if charges.last() == Some(&Ok(())) {
            std::mem::forget(next);
        }
    }
    assert_eq!(
        charges,
        [
            Ok(()),
            Ok(()),
            full(MemoryScope::Address, 30 * MB),
            Ok(()),
            full(MemoryScope::Host, 40 * MB)
        ]
    );
    drop(first);
    assert_eq!(account.held(), 30 * MB, "after a release");
    assert_eq!(
        sibling.resize(10 * MB),
        Ok(()),
        "the released memory is free"
    );
    assert_eq!(sibling.resize(MB), Ok(()));
    assert_eq!(account.held(), 31 * MB, "after a charge shrank");
}

/// Guards against limits that refuse the largest body of a configuration on a small machine.
#[test]
fn one_largest_body_fits_on_every_machine() {
    for megabytes in [16, 112, 512] {
        let account = MemoryAccount::new(MemoryLimits::of_machine(megabytes));
        let mut body = account.charge(None, &ConnectionMemory::default(), 64 * MB);
        assert_eq!(body.resize(64 * MB), Ok(()), "machine of {megabytes} MB");
    }
}
