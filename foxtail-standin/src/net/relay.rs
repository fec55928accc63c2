//! Relays the bytes of one connection and delays them by the time that their path takes.

use std::io;
use std::sync::atomic::Ordering;

use bytes::{Bytes, BytesMut};
use foxtail_net::Stream;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, split};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

use super::Cut;
use super::network::OneWayPath;

/// The bytes that the pipe between client and relay holds in each direction; writers wait while it
/// is full.
pub(crate) const PIPE_BYTES: usize = 64 * 1024;
const CHUNK_BYTES: usize = 16 * 1024;
/// The most chunks in transit in one direction of a connection, which bound its window.
const WINDOW_CHUNKS: usize = 64;

/// Relays bytes from `client` to `server` over `out` and in return over `back`, until both
/// directions have ended, one fails or is reset, or `stop` is cancelled.
pub(crate) async fn run(
    client: DuplexStream,
    server: Box<dyn Stream>,
    out: OneWayPath,
    back: OneWayPath,
    stop: CancellationToken,
) {
    let (client_rx, client_tx) = split(client);
    let (server_rx, server_tx) = split(server);
    let both = async {
        tokio::try_join!(
            relay_one_way(client_rx, server_tx, &out),
            relay_one_way(server_rx, client_tx, &back)
        )
    };
    // Whatever ends the relay, both streams are then dropped, so that client and server see the
    // connection end.
    tokio::select! {
        _ = both => {}
        () = wait_for_reset(&out) => {}
        () = wait_for_reset(&back) => {}
        () = stop.cancelled() => {}
    }
}

async fn relay_one_way(
    from: impl AsyncRead + Unpin,
    to: impl AsyncWrite + Unpin,
    path: &OneWayPath,
) -> io::Result<()> {
    let (tx, rx) = mpsc::channel(WINDOW_CHUNKS);
    tokio::try_join!(read_chunks(from, path, tx), write_chunks(to, path, rx))?;
    Ok(())
}

/// Reads chunks and sends each to `tx` with the time at which it arrives at the other end.
async fn read_chunks(
    mut from: impl AsyncRead + Unpin,
    path: &OneWayPath,
    tx: mpsc::Sender<(Instant, Bytes)>,
) -> io::Result<()> {
    loop {
        let mut buf = BytesMut::with_capacity(CHUNK_BYTES);
        let n = from.read_buf(&mut buf).await?;
        path.byte_counter.fetch_add(n as u64, Ordering::Relaxed);
        let links = path.uplink.iter().chain(&path.link);
        let sent = links.map(|link| link.send(n)).fold(Instant::now(), Instant::max);
        if tx.send((sent + path.delay, buf.freeze())).await.is_err() || n == 0 {
            return Ok(());
        }
    }
}

/// Writes each chunk at its time of arrival; an empty one marks the end of the stream.
async fn write_chunks(
    mut to: impl AsyncWrite + Unpin,
    path: &OneWayPath,
    mut rx: mpsc::Receiver<(Instant, Bytes)>,
) -> io::Result<()> {
    while let Some((arrival, chunk)) = rx.recv().await {
        if arrival > Instant::now() {
            sleep_until(arrival).await;
        }
        wait_while_blackholed(path).await;
        if chunk.is_empty() {
            return to.shutdown().await;
        }
        to.write_all(&chunk).await?;
        to.flush().await?;
    }
    Ok(())
}

/// Waits while the path is cut as a black hole.
async fn wait_while_blackholed(path: &OneWayPath) {
    if let Some(link) = &path.link {
        let _ = link.cut().wait_for(|cut| *cut != Some(Cut::Blackhole)).await;
    }
}

/// Returns once the path resets its connections.
async fn wait_for_reset(path: &OneWayPath) {
    match &path.link {
        Some(link) => {
            let _ = link.cut().wait_for(|cut| *cut == Some(Cut::Reset)).await;
        }
        None => std::future::pending().await,
    }
}
