//! Calls to the first host that answers.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use foxtail_wire::operator::error_of;
use jsonrpsee::core::ClientError;
use jsonrpsee::core::client::Error as RpcError;
use jsonrpsee::http_client::transport::Error as TransportError;
use jsonrpsee::http_client::{HeaderMap, HeaderValue, HttpClient, HttpClientBuilder};

use crate::exit::Failure;
use crate::settings::Settings;

const CALL_TIMEOUT: Duration = Duration::from_secs(30);
const REQUEST_MAX_BYTES: u32 = 2 << 20;
const RESPONSE_MAX_BYTES: u32 = 16 << 20;

/// Clients to the hosts, in the order to try them.
pub(crate) struct Client {
    hosts: Vec<(SocketAddr, HttpClient)>,
    token: String,
}

impl Client {
    pub(crate) fn new(settings: &Settings) -> Result<Self, Failure> {
        let mut hosts = Vec::new();
        for addr in &settings.hosts {
            hosts.push((*addr, client(*addr, &settings.token)?));
        }
        Ok(Self { hosts, token: settings.token.clone() })
    }

    /// The same for one other host.
    pub(crate) fn at(&self, addr: SocketAddr) -> Result<Self, Failure> {
        Ok(Self { hosts: vec![(addr, client(addr, &self.token)?)], token: self.token.clone() })
    }

    /// Makes one call at the first host that answers. Every call may be made twice: a change that
    /// was made already changes nothing.
    pub(crate) async fn call<T>(
        &self,
        call: impl AsyncFn(&HttpClient) -> Result<T, ClientError>,
    ) -> Result<T, Failure> {
        let mut lost = None;
        let mut unreachable = Vec::new();
        for (addr, client) in &self.hosts {
            match call(client).await {
                Ok(answer) => return Ok(answer),
                Err(e) => match (error_of(&e), e) {
                    (Some(refused), _) => return Err(Failure::Refused(refused)),
                    (None, RpcError::Call(e)) => {
                        return Err(Failure::Other(anyhow::anyhow!("host {addr}: {e}")));
                    }
                    (None, e) if was_rejected(&e) => {
                        let text = format!("host {addr} does not accept the credential");
                        return Err(Failure::Usage(text));
                    }
                    (None, e @ RpcError::RequestTimeout) => lost = Some(format!("{addr}: {e}")),
                    (None, e) => unreachable.push(format!("{addr}: {e}")),
                },
            }
        }
        Err(match lost {
            Some(lost) => Failure::Lost(lost),
            None => Failure::Unreachable(unreachable.join("; ")),
        })
    }
}

fn client(addr: SocketAddr, token: &str) -> Result<HttpClient, Failure> {
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_str(&format!("Bearer {token}"))
        .map_err(|_| Failure::Usage("the token has characters that no header takes".to_owned()))?;
    headers.insert("authorization", value);
    let client = HttpClientBuilder::default()
        .set_headers(headers)
        .request_timeout(CALL_TIMEOUT)
        .max_request_size(REQUEST_MAX_BYTES)
        .max_response_size(RESPONSE_MAX_BYTES)
        .build(format!("http://{addr}"))
        .with_context(|| format!("host {addr}"))?;
    Ok(client)
}

fn was_rejected(e: &ClientError) -> bool {
    let RpcError::Transport(e) = e else { return false };
    matches!(
        e.downcast_ref::<TransportError>(),
        Some(TransportError::Rejected { status_code: 401 })
    )
}
