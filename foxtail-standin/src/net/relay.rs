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
use super::network::OneWayPath;

/// The bytes that the near end of a connection takes before its writer waits.
pub(crate) const PIPE_BYTES: usize = 64 * 1024;
const CHUNK_BYTES: usize = 16 * 1024;
/// The chunks under way in one direction of a connection: its window.
const WINDOW_CHUNKS: usize = 64;

/// Moves bytes both ways until both directions have ended, one breaks, or `stop`.
pub(crate) async fn run(
    near: DuplexStream,
    far: Box<dyn Stream>,
    out: OneWayPath,
    back: OneWayPath,
    stop: CancellationToken,
) {
    let (near_rx, near_tx) = split(near);
    let (far_rx, far_tx) = split(far);
    let both = async {
        tokio::try_join!(
            relay_one_way(near_rx, far_tx, &out),
            relay_one_way(far_rx, near_tx, &back)
        )
    };
    // Whatever ends it, both ends are dropped here, and both sides see the connection end.
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

/// Reads chunks and stamps each with its time of arrival.
async fn read_chunks(
    mut from: impl AsyncRead + Unpin,
    path: &OneWayPath,
    tx: mpsc::Sender<(Instant, Bytes)>,
) -> io::Result<()> {
    loop {
        let mut buf = BytesMut::with_capacity(CHUNK_BYTES);
        let n = from.read_buf(&mut buf).await?;
        path.byte_count.fetch_add(n as u64, Ordering::Relaxed);
        let sent = path.link.as_ref().map_or_else(Instant::now, |link| link.send(n));
        if tx.send((sent + path.delay, buf.freeze())).await.is_err() || n == 0 {
            return Ok(());
        }
    }
}

/// Writes chunks when they arrive; an empty one is the end.
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

/// Waits while the way is a black hole.
async fn wait_while_blackholed(path: &OneWayPath) {
    if let Some(link) = &path.link {
        let _ = link.cut().wait_for(|cut| *cut != Some(Cut::Blackhole)).await;
    }
}

/// Returns once the way resets connections.
async fn wait_for_reset(path: &OneWayPath) {
    match &path.link {
        Some(link) => {
            let _ = link.cut().wait_for(|cut| *cut == Some(Cut::Reset)).await;
        }
        None => std::future::pending().await,
    }
}
