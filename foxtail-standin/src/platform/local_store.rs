//! The traits of the platform's store, implemented by calls in the same process.

use std::future::Future;
use std::sync::Arc;

use async_trait::async_trait;
use foxtail_platform::table::{Error, Options, Outcome, Row, Table, Txn};
use foxtail_platform::{Objects, objects};
use foxtail_types::prelude::*;

use super::memory::{OperationError, Platform};

/// A [`Table`] and [`Objects`] that call a [`Platform`] in the same process.
#[derive(Clone)]
pub struct LocalStore {
    platform: Arc<Platform>,
}

impl LocalStore {
    /// Returns a store that calls `platform`.
    pub fn new(platform: Arc<Platform>) -> Self {
        Self { platform }
    }
}

#[async_trait]
impl Table for LocalStore {
    async fn commit(&self, txn: &Txn, options: Options) -> Outcome {
        match within(options.timeout, self.platform.commit(txn.clone())).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(OperationError::ReplyLost)) => {
                Outcome::Ambiguous(error(OperationError::ReplyLost))
            }
            Ok(Err(e)) => Outcome::Failed(error(e)),
            Err(e) => Outcome::Ambiguous(e),
        }
    }

    async fn read(&self, keys: &[String], options: Options) -> Result<Vec<Option<Row>>, Error> {
        within(options.timeout, self.platform.read(keys)).await?.map_err(error)
    }

    async fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
        options: Options,
    ) -> Result<Vec<(String, Row)>, Error> {
        let scan = self.platform.scan(prefix, after, limit);
        within(options.timeout, scan).await?.map_err(error)
    }
}

#[async_trait]
impl Objects for LocalStore {
    async fn put(&self, name: &str, value: Vec<u8>, timeout: Millis) -> Result<(), objects::Error> {
        let done = within(timeout, self.platform.put(name, value)).await;
        done.map_err(|_| objects::Error::TimedOut)?.map_err(object_error)
    }

    async fn get(&self, name: &str, timeout: Millis) -> Result<Option<Vec<u8>>, objects::Error> {
        let done = within(timeout, self.platform.get(name)).await;
        done.map_err(|_| objects::Error::TimedOut)?.map_err(object_error)
    }
}

async fn within<T>(timeout: Millis, f: impl Future<Output = T>) -> Result<T, Error> {
    tokio::time::timeout(timeout.duration(), f).await.map_err(|_| Error::TimedOut)
}

fn error(e: OperationError) -> Error {
    match e {
        OperationError::Throttled => Error::Throttled,
        e => Error::Unavailable(format!("{e:?}")),
    }
}

fn object_error(e: OperationError) -> objects::Error {
    objects::Error::Unavailable(format!("{e:?}"))
}
