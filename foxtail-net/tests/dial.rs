//! Connections with timeouts and keep-alive probes.

use foxtail_net::{Dial, KeepaliveDial};
use foxtail_time::Millis;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

#[tokio::test]
async fn connections_are_made_with_any_probe_interval() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    for probe_interval_ms in [0, 1, 500, 1_000, 1_500] {
        let dial = KeepaliveDial {
            connect_timeout: Millis(400),
            unacknowledged_timeout: Millis(700),
            probe_interval: Millis(probe_interval_ms),
        };
        let (dialed, accepted) = tokio::join!(dial.dial(addr), listener.accept());
        let mut stream =
            dialed.unwrap_or_else(|e| panic!("probe interval of {probe_interval_ms} ms: {e}"));
        stream.write_all(b"x").await.unwrap();
        assert_eq!(accepted.unwrap().0.read_u8().await.unwrap(), b'x');
    }
}

#[tokio::test]
async fn a_port_without_listener_is_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let dial = KeepaliveDial {
        connect_timeout: Millis(400),
        unacknowledged_timeout: Millis(700),
        probe_interval: Millis(1_000),
    };
    assert!(dial.dial(addr).await.is_err());
}
