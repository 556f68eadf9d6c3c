//! RPC calls to the operator port of one daemon.

use std::error::Error;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::transport::Error as Transport;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use savorylane_wire::operator::{Entry, OperatorClient, Scope, Status, Summary};
use snafu::ResultExt;
use tokio::runtime::{Builder, Runtime};

use crate::fault::{Fault, RuntimeSnafu};

/// Timeout of one request. It leaves time for a summary of the fleet, for which
/// the daemon asks other daemons, some of which may be unreachable.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Daemon whose operator port is called.
#[derive(Debug)]
pub(crate) struct Remote {
    operator: SocketAddr,
    client: HttpClient,
    runtime: Runtime,
}

impl Remote {
    /// Creates the RPC client of the daemon at `operator`. The connection is
    /// opened by the first request.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::Runtime`] if the async runtime cannot be created, and
    /// [`Fault::Unreachable`] or [`Fault::Answer`] if the RPC client cannot be
    /// created.
    pub(crate) fn open(operator: SocketAddr) -> Result<Self, Fault> {
        let mut builder = Builder::new_current_thread();
        let runtime = builder.enable_all().build().context(RuntimeSnafu)?;
        let client = HttpClientBuilder::default()
            .request_timeout(REQUEST_TIMEOUT)
            .build(format!("http://{operator}"))
            .map_err(|error| convert_error(operator, &error))?;
        Ok(Self {
            operator,
            client,
            runtime,
        })
    }

    /// Returns the state of the daemon, and of the hosts as seen by it.
    pub(crate) fn status(&self) -> Result<Status, Fault> {
        self.call(self.client.status(), REQUEST_TIMEOUT)
    }

    /// Returns the state like [`Remote::status`], or an error if the daemon
    /// does not answer within `timeout`.
    pub(crate) fn status_within(&self, timeout: Duration) -> Result<Status, Fault> {
        self.call(self.client.status(), timeout.min(REQUEST_TIMEOUT))
    }

    /// Returns the results of all classes over `scope`.
    pub(crate) fn summary(&self, scope: Scope) -> Result<Summary, Fault> {
        self.call(self.client.summary(scope), REQUEST_TIMEOUT)
    }

    /// Returns up to `max_entries` entries of the audit trail that follow the
    /// entry with sequence number `after`.
    pub(crate) fn audit(&self, after: u64, max_entries: u64) -> Result<Vec<Entry>, Fault> {
        self.call(self.client.audit(after, max_entries), REQUEST_TIMEOUT)
    }

    /// Starts the drain of the daemon's host, and returns the state of the
    /// daemon.
    pub(crate) fn drain(&self) -> Result<Status, Fault> {
        self.call(self.client.drain(), REQUEST_TIMEOUT)
    }

    fn call<Response>(
        &self,
        request: impl Future<Output = Result<Response, ClientError>>,
        timeout: Duration,
    ) -> Result<Response, Fault> {
        let answer = self
            .runtime
            .block_on(async { tokio::time::timeout(timeout, request).await });
        answer
            .unwrap_or(Err(ClientError::RequestTimeout))
            .map_err(|error| convert_error(self.operator, &error))
    }
}

/// Returns [`Fault::Unreachable`] if the daemon sent no answer, and
/// [`Fault::Answer`] if it answered with an error or with content that is not
/// an RPC response.
fn convert_error(operator: SocketAddr, error: &ClientError) -> Fault {
    let answer = |reason: String| Fault::Answer { operator, reason };
    let unreachable = |reason: String| Fault::Unreachable { operator, reason };
    match error {
        ClientError::Call(error) => answer(format!("{} (code {})", error.message(), error.code())),
        ClientError::RequestTimeout => unreachable("the request timed out".into()),
        ClientError::Transport(error) => match error.downcast_ref::<Transport>() {
            Some(Transport::Rejected { status_code }) => answer(format!(
                "HTTP status {status_code}; is this the operator port?"
            )),
            _ => unreachable(root_cause(error.as_ref())),
        },
        error => answer(format!("{}; is this the operator port?", root_cause(error))),
    }
}

/// Returns the message of the innermost error, which states what the operating
/// system reported.
fn root_cause(error: &(dyn Error + 'static)) -> String {
    let mut error = error;
    while let Some(source) = error.source() {
        error = source;
    }
    error.to_string()
}
