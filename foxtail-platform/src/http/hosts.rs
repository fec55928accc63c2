//! The host list over HTTP.

use std::sync::Arc;

use async_trait::async_trait;
use foxtail_types::prelude::*;
use hyper::{Method, StatusCode};

use super::Call;
use crate::hosts::{Error, HostEntry, HostList};

/// The host list over HTTP.
pub struct HttpHosts {
    call: Arc<Call>,
}

impl HttpHosts {
    /// A host list reached by `call`.
    pub fn new(call: Arc<Call>) -> Self {
        Self { call }
    }
}

#[async_trait]
impl HostList for HttpHosts {
    async fn list(&self, timeout: Millis) -> Result<Vec<HostEntry>, Error> {
        let sent = self.call.send(Method::GET, "/hosts", Vec::new().into(), timeout).await;
        match sent.map_err(|e| Error(e.to_string()))? {
            (StatusCode::OK, body) => {
                serde_json::from_slice(&body).map_err(|e| Error(e.to_string()))
            }
            (status, _) => Err(Error(format!("status {status}"))),
        }
    }
}
