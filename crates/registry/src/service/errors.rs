//! Errors in the service's responses.

use saltdrum_protocol::rpc;

/// Error code: the change was rejected, and the state is unchanged.
pub const REJECTED: i64 = -32_010;
/// Error code: the caller's key does not permit the call.
pub const ACCESS_DENIED: i64 = -32_011;
/// Error code: the disk write failed; whether the change is on disk after the next start is unknown.
pub const DISK_FAILURE: i64 = -32_012;

/// A JSON-RPC error response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message} (code {code})")]
pub(crate) struct RpcError {
    pub(crate) code: i64,
    pub(crate) message: String,
}

impl RpcError {
    fn new(code: i64, message: impl ToString) -> Self {
        Self {
            code,
            message: message.to_string(),
        }
    }

    pub(crate) fn invalid_params(message: impl ToString) -> Self {
        Self::new(rpc::INVALID_PARAMS, message)
    }

    pub(crate) fn unknown_method(method: &str) -> Self {
        let message = format!("method '{method}' is not known here");
        Self::new(rpc::METHOD_NOT_FOUND, message)
    }

    pub(crate) fn rejected(message: impl ToString) -> Self {
        Self::new(REJECTED, message)
    }

    pub(crate) fn access_denied(message: impl ToString) -> Self {
        Self::new(ACCESS_DENIED, message)
    }

    pub(crate) fn disk_failure(message: impl ToString) -> Self {
        Self::new(DISK_FAILURE, message)
    }
}

/// The form of errors in the coordinator's server.
impl From<RpcError> for (i64, String) {
    fn from(error: RpcError) -> Self {
        (error.code, error.message)
    }
}
