//! Moves the bytes of one connection, each after its delay.

use std::io;
use std::sync::atomic::Ordering;

use bytes::{Bytes, BytesMut};
use foxtail_net::Stream;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, split};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

use super::Cut;
use super::fabric::Way;

/// The bytes that the near end of a connection takes before its writer waits.
pub(crate) const PIPE_BYTES: usize = 64 * 1024;
const CHUNK_BYTES: usize = 16 * 1024;
/// The chunks under way in one direction of a connection: its window.
const WINDOW_CHUNKS: usize = 64;

/// Moves bytes both ways until both directions have ended, one breaks, or `stop`.
pub(crate) async fn run(
    near: DuplexStream,
    far: Box<dyn Stream>,
    out: Way,
    back: Way,
    stop: CancellationToken,
) {
    let (near_rx, near_tx) = split(near);
    let (far_rx, far_tx) = split(far);
    let both =
        async { tokio::try_join!(one_way(near_rx, far_tx, &out), one_way(far_rx, near_tx, &back)) };
    // Whatever ends it, both ends are dropped here, and both sides see the connection end.
    tokio::select! {
        _ = both => {}
        () = broken(&out) => {}
        () = broken(&back) => {}
        () = stop.cancelled() => {}
    }
}

async fn one_way(
    from: impl AsyncRead + Unpin,
    to: impl AsyncWrite + Unpin,
    way: &Way,
) -> io::Result<()> {
    let (tx, rx) = mpsc::channel(WINDOW_CHUNKS);
    tokio::try_join!(take(from, way, tx), deliver(to, way, rx))?;
    Ok(())
}

/// Reads chunks and stamps each with its time of arrival.
async fn take(
    mut from: impl AsyncRead + Unpin,
    way: &Way,
    tx: mpsc::Sender<(Instant, Bytes)>,
) -> io::Result<()> {
    loop {
        let mut buf = BytesMut::with_capacity(CHUNK_BYTES);
        let n = from.read_buf(&mut buf).await?;
        way.bytes.fetch_add(n as u64, Ordering::Relaxed);
        let sent = way.link.as_ref().map_or_else(Instant::now, |link| link.send(n));
        if tx.send((sent + way.delay, buf.freeze())).await.is_err() || n == 0 {
            return Ok(());
        }
    }
}

/// Writes chunks when they arrive; an empty one is the end.
async fn deliver(
    mut to: impl AsyncWrite + Unpin,
    way: &Way,
    mut rx: mpsc::Receiver<(Instant, Bytes)>,
) -> io::Result<()> {
    while let Some((arrival, chunk)) = rx.recv().await {
        if arrival > Instant::now() {
            sleep_until(arrival).await;
        }
        passable(way).await;
        if chunk.is_empty() {
            return to.shutdown().await;
        }
        to.write_all(&chunk).await?;
        to.flush().await?;
    }
    Ok(())
}

/// Waits while the way is a black hole.
async fn passable(way: &Way) {
    if let Some(link) = &way.link {
        let _ = link.cut().wait_for(|cut| *cut != Some(Cut::Blackhole)).await;
    }
}

/// Returns once the way resets connections.
async fn broken(way: &Way) {
    match &way.link {
        Some(link) => {
            let _ = link.cut().wait_for(|cut| *cut == Some(Cut::Reset)).await;
        }
        None => std::future::pending().await,
    }
}
