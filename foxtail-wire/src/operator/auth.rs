use std::sync::Arc;

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

const SCHEME: &str = "Bearer ";

/// An operator's credential, from the settings.
#[derive(Clone)]
pub struct Credential {
    /// The operator's name.
    pub name: String,
    /// The secret.
    pub token: String,
}

/// The operator in whose name a call is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator(pub Arc<str>);

/// The credentials that are accepted. Only digests of the secrets are kept.
pub struct Credentials {
    known: Vec<(Operator, [u8; 32])>,
}

impl Credentials {
    /// Accepts `credentials`.
    pub fn new(credentials: &[Credential]) -> Self {
        let known = credentials.iter().map(|credential| {
            let name = Operator(credential.name.as_str().into());
            (name, digest(credential.token.as_bytes()))
        });
        Self { known: known.collect() }
    }

    /// The operator that the headers prove, if any. The time taken depends on the number of known
    /// credentials alone.
    pub fn operator(&self, headers: &HeaderMap) -> Option<Operator> {
        let value = headers.get(AUTHORIZATION).map_or("", |value| value.to_str().unwrap_or(""));
        let given = digest(value.strip_prefix(SCHEME).unwrap_or("").as_bytes());
        let mut found = None;
        for (operator, digest) in &self.known {
            if bool::from(digest.ct_eq(&given)) {
                found = Some(operator.clone());
            }
        }
        found
    }
}

fn digest(token: &[u8]) -> [u8; 32] {
    Sha256::digest(token).into()
}
