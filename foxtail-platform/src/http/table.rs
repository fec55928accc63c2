//! The table service over HTTP.

use std::sync::Arc;

use async_trait::async_trait;
use foxtail_types::prelude::*;
use hyper::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{Call, CallError};
use crate::proto::{Committed, Conflict, Read, Scan};
use crate::table::{Error, Options, Outcome, Row, Table, Txn};

/// The table service over HTTP.
pub struct HttpTable {
    call: Arc<Call>,
}

impl HttpTable {
    /// A table reached by `call`.
    pub fn new(call: Arc<Call>) -> Self {
        Self { call }
    }

    async fn query<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &(impl Serialize + Sync),
        timeout: Millis,
    ) -> Result<T, Error> {
        let body = encode(query)?;
        let answer = self.call.send(Method::POST, path, body.into(), timeout).await;
        match answer.map_err(error)? {
            (StatusCode::OK, body) => decode(&body),
            (status, _) => Err(refusal(status)),
        }
    }
}

#[async_trait]
impl Table for HttpTable {
    async fn commit(&self, txn: &Txn, options: Options) -> Outcome {
        let body = match encode(txn) {
            Ok(body) => body,
            Err(e) => return Outcome::Failed(e),
        };
        let sent = self.call.send(Method::POST, "/table/commit", body.into(), options.timeout);
        match sent.await {
            Ok((StatusCode::OK, body)) => match decode::<Committed>(&body) {
                Ok(done) if done.versions.len() == txn.writes.len() => {
                    Outcome::Committed(done.versions)
                }
                Ok(_) => Outcome::Ambiguous(Error::Unavailable("short answer".to_owned())),
                Err(e) => Outcome::Ambiguous(e),
            },
            Ok((StatusCode::CONFLICT, body)) => match decode::<Conflict>(&body) {
                Ok(Conflict { at, found }) if at < txn.writes.len() => {
                    Outcome::Conflict { at, found }
                }
                Ok(_) => Outcome::Failed(Error::Unavailable("conflict out of range".to_owned())),
                Err(e) => Outcome::Failed(e),
            },
            Ok((status, _)) if refused(status) => Outcome::Failed(refusal(status)),
            Ok((status, _)) => Outcome::Ambiguous(refusal(status)),
            Err(e @ CallError::NotSent(_)) => Outcome::Failed(error(e)),
            Err(e) => Outcome::Ambiguous(error(e)),
        }
    }

    async fn read(&self, keys: &[String], options: Options) -> Result<Vec<Option<Row>>, Error> {
        let query = Read { keys: keys.to_vec() };
        let rows: Vec<Option<Row>> = self.query("/table/read", &query, options.timeout).await?;
        match rows.len() == keys.len() {
            true => Ok(rows),
            false => Err(Error::Unavailable("short answer".to_owned())),
        }
    }

    async fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
        options: Options,
    ) -> Result<Vec<(String, Row)>, Error> {
        let query = Scan { prefix: prefix.to_owned(), after: after.to_owned(), limit };
        self.query("/table/scan", &query, options.timeout).await
    }
}

/// Whether the status says that nothing was done.
fn refused(status: StatusCode) -> bool {
    matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE)
}

fn refusal(status: StatusCode) -> Error {
    match status {
        StatusCode::TOO_MANY_REQUESTS => Error::Throttled,
        status => Error::Unavailable(format!("status {status}")),
    }
}

fn error(e: CallError) -> Error {
    match e {
        CallError::TimedOut => Error::TimedOut,
        e => Error::Unavailable(e.to_string()),
    }
}

fn encode(message: &impl Serialize) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(message).map_err(|e| Error::Unavailable(e.to_string()))
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|e| Error::Unavailable(e.to_string()))
}
