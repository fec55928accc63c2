//! The object store over HTTP.

use std::sync::Arc;

use async_trait::async_trait;
use foxtail_types::prelude::*;
use hyper::{Method, StatusCode};

use super::{Call, CallError};
use crate::objects::{Error, Objects};

/// The object store over HTTP. Names consist of URL-safe characters.
pub struct HttpObjects {
    call: Arc<Call>,
}

impl HttpObjects {
    /// An object store reached by `call`.
    pub fn new(call: Arc<Call>) -> Self {
        Self { call }
    }
}

#[async_trait]
impl Objects for HttpObjects {
    async fn put(&self, name: &str, value: Vec<u8>, timeout: Millis) -> Result<(), Error> {
        let path = path(name);
        let sent = self.call.send(Method::PUT, &path, value.into(), timeout).await;
        match sent.map_err(error)? {
            (StatusCode::OK, _) => Ok(()),
            (status, _) => Err(Error::Unavailable(format!("status {status}"))),
        }
    }

    async fn get(&self, name: &str, timeout: Millis) -> Result<Option<Vec<u8>>, Error> {
        let path = path(name);
        let sent = self.call.send(Method::GET, &path, Vec::new().into(), timeout).await;
        match sent.map_err(error)? {
            (StatusCode::OK, body) => Ok(Some(body.to_vec())),
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (status, _) => Err(Error::Unavailable(format!("status {status}"))),
        }
    }
}

fn path(name: &str) -> String {
    format!("/objects/{name}")
}

fn error(e: CallError) -> Error {
    match e {
        CallError::TimedOut => Error::TimedOut,
        e => Error::Unavailable(e.to_string()),
    }
}
