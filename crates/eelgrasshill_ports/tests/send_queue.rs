//! Tests which connections count as having undelivered bytes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use eelgrasshill_ports::{parse_unsent_peers, unsent_peers};

/// Guards against a missed or a foreign connection, and against a listener that counts as one.
#[test]
fn own_connections_with_unsent_bytes_are_found() {
    let table = "  sl  local_address rem_address   st tx_queue rx_queue tr tm->when\n\
        0: 0100007F:1F90 00000000:0000 0A 00000005:00000001 00:00000000\n\
        1: 0100007F:1F90 0200007F:0051 01 00000001:00000000 00:00000000\n\
        2: 0100007F:1F90 0200007F:0052 01 00000000:00000009 00:00000000\n\
        3: 0300007F:1F90 0200007F:0053 01 00000001:00000000 00:00000000\n\
        4: 0100007F:1F91 0200007F:0054 01 00000001:00000000 00:00000000\n\
        5: 0100007F:1F90 0200007F:0055 04 0000ABCD:00000000 00:00000000\n\
        6: cut off\n";
    let address = |text: &str| text.parse::<SocketAddr>().expect("an address");
    let found = parse_unsent_peers(table, address("127.0.0.1:8080"));
    assert_eq!(found, [address("127.0.0.2:81"), address("127.0.0.2:85")]);
    let found = parse_unsent_peers(table, address("0.0.0.0:8080"));
    assert_eq!(found.len(), 3, "an unspecified address has all interfaces");
    let table = "0: 0000000000000000FFFF00000100007F:1F90 \
        0000000000000000FFFF00000200007F:0051 01 00000001:00000000 00:00000000\n";
    let found = parse_unsent_peers(table, address("[::]:8080"));
    assert_eq!(found, [address("127.0.0.2:81")]);
}

/// Guards against a connection that is forgotten once the process has closed it.
#[test]
fn bytes_of_a_closed_connection_count_until_they_are_read() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback can be bound");
    let server = listener.local_addr().expect("it is bound");
    let mut caller = TcpStream::connect(server).expect("it listens");
    let (mut accepted, peer) = listener.accept().expect("there is a connection");
    accepted.set_nonblocking(true).expect("it is open");
    let part = vec![0; 1 << 16];
    while accepted.write(&part).is_ok() {}
    drop(accepted);
    assert_eq!(unsent_peers(server).expect("readable"), [peer]);
    let mut read = Vec::new();
    caller.read_to_end(&mut read).expect("all bytes arrive");
    drop(caller);
    assert!(unsent_peers(server).expect("readable").is_empty());
}
