//! Connections to other hosts: one for each, made when first needed and again after a failure.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foxtail_net::Dial;
use foxtail_time::Millis;
use parking_lot::Mutex;
use tarpc::client::{Config, RpcError};
use tarpc::context::Context;
use tokio::task::JoinSet;

use crate::peer::PeerClient;

/// Clients to other hosts.
pub struct Peers {
    dial: Arc<dyn Dial>,
    slots: Mutex<HashMap<SocketAddr, Arc<Slot>>>,
    tasks: Mutex<JoinSet<()>>,
}

/// Why a call to another host failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection: the call was not made.
    #[error("no connection: {0}")]
    Unreachable(std::io::Error),
    /// No answer in time, or the connection broke.
    #[error("no answer: {0}")]
    NoAnswer(RpcError),
}

#[derive(Default)]
struct Slot {
    client: tokio::sync::Mutex<Option<PeerClient>>,
}

impl Peers {
    /// No connections yet; all will be made through `dial`.
    pub fn new(dial: Arc<dyn Dial>) -> Self {
        Self { dial, slots: Mutex::default(), tasks: Mutex::default() }
    }

    /// A client to the host at `addr`, connected within `timeout`.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if the host can't be connected to in time.
    pub async fn client(&self, addr: SocketAddr, timeout: Millis) -> Result<PeerClient, Error> {
        let slot = Arc::clone(self.slots.lock().entry(addr).or_default());
        let connect = async {
            let mut client = slot.client.lock().await;
            if let Some(client) = &*client {
                return Ok(client.clone());
            }
            let fresh = self.connect(addr).await.map_err(Error::Unreachable)?;
            *client = Some(fresh.clone());
            Ok(fresh)
        };
        match tokio::time::timeout(timeout.duration(), connect).await {
            Ok(connected) => connected,
            Err(_) => Err(Error::Unreachable(std::io::ErrorKind::TimedOut.into())),
        }
    }

    /// Makes one call to the host at `addr`. After a failure the next call connects anew.
    ///
    /// # Errors
    ///
    /// [`Error`], with [`Error::Unreachable`] only if the call was certainly not made.
    pub async fn call<F, R>(
        &self,
        addr: SocketAddr,
        timeout: Millis,
        call: impl FnOnce(PeerClient, Context) -> F,
    ) -> Result<R, Error>
    where
        F: Future<Output = Result<R, RpcError>>,
    {
        let started = Instant::now();
        let client = self.client(addr, timeout).await?;
        let mut cx = tarpc::context::current();
        let left = timeout.duration().saturating_sub(started.elapsed());
        cx.deadline = Instant::now() + left;
        match call(client, cx).await {
            Ok(answer) => Ok(answer),
            Err(e) => {
                self.slots.lock().remove(&addr);
                Err(Error::NoAnswer(e))
            }
        }
    }

    /// Closes all connections and waits for their tasks.
    pub async fn close(&self) {
        self.slots.lock().clear();
        let mut tasks = std::mem::take(&mut *self.tasks.lock());
        let wait = async { while tasks.join_next().await.is_some() {} };
        let _ = tokio::time::timeout(Duration::from_secs(1), wait).await;
        tasks.shutdown().await;
    }

    async fn connect(&self, addr: SocketAddr) -> std::io::Result<PeerClient> {
        let stream = self.dial.dial(addr).await?;
        let transport = foxtail_frame::transport(stream);
        let tarpc::client::NewClient { client, dispatch } =
            PeerClient::new(Config::default(), transport);
        let mut tasks = self.tasks.lock();
        while tasks.try_join_next().is_some() {}
        tasks.spawn(async move {
            if let Err(e) = dispatch.await {
                tracing::debug!(event = "peer_connection_lost", to = %addr, error = %e);
            }
        });
        Ok(client)
    }
}
