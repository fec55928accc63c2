use foxtail_sync::admin::Error;
use jsonrpsee::core::ClientError;
use jsonrpsee::types::ErrorObjectOwned;

/// The code of errors that carry an [`Error`] as data.
const REFUSED: i32 = 1;

pub(super) fn to_rpc(e: &Error) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(REFUSED, e.to_string(), Some(e))
}

/// The typed error in a client's error, if the host answered with one.
pub fn error_of(e: &ClientError) -> Option<Error> {
    let ClientError::Call(object) = e else { return None };
    serde_json::from_str(object.data()?.get()).ok()
}
