//! HTTP client of the hosts' admin addresses.
//!
//! Each request goes to the given hosts in order, until one of them responds. A
//! response with status 404 does not count, because it shows that the address
//! is no admin address.

use std::net::SocketAddr;
use std::time::Duration;

use compio::time::timeout;
use cyper::Client;
use serde::de::DeserializeOwned;

use crocushoist_protocol::ConfigReport;
use crocushoist_protocol::EditAnswer;
use crocushoist_protocol::EditCall;
use crocushoist_protocol::EditFailure;
use crocushoist_protocol::StatusReport;

use crate::tool_error::ToolError;

/// Timeout in seconds of a read at one host.
const READ_TIMEOUT_S: u64 = 3;
/// Timeout in seconds of an edit at one host, which itself waits up to 8 s for its acceptance.
const EDIT_TIMEOUT_S: u64 = 12;
const STATUS_NOT_FOUND: u16 = 404;

/// HTTP client of the hosts' admin addresses.
pub(crate) struct AdminClient {
    hosts: Vec<SocketAddr>,
    http: Client,
}

/// Response of a host.
struct HostResponse {
    status: u16,
    body: String,
}

impl AdminClient {
    pub(crate) fn new(hosts: &[SocketAddr]) -> Result<Self, ToolError> {
        let http = Client::new().map_err(|error| ToolError::Unreachable {
            host: "the HTTP client".into(),
            cause: error.to_string(),
        })?;
        Ok(AdminClient {
            hosts: hosts.to_vec(),
            http,
        })
    }

    /// Reads the status from the first host that responds.
    pub(crate) async fn status(&self) -> Result<StatusReport, ToolError> {
        self.read("/status").await
    }

    /// Reads the current configuration from the first host that responds.
    pub(crate) async fn config(&self) -> Result<ConfigReport, ToolError> {
        self.read("/config").await
    }

    /// Sends an edit to the first host that responds.
    ///
    /// An edit that timed out at one host is sent to the next with the same id, and the fleet
    /// applies each id at most once. Fails with `Refused`, or with `Unconfirmed` if
    /// the edit may still take effect.
    pub(crate) async fn edit(&self, call: &EditCall) -> Result<EditAnswer, ToolError> {
        let body = serde_json::to_string(call).unwrap_or_default();
        let response = self
            .request_from_first("POST", "/edits", &body, EDIT_TIMEOUT_S)
            .await?;
        if let Ok(accepted) = serde_json::from_str::<EditAnswer>(&response.body) {
            return Ok(accepted);
        }
        let failure: EditFailure = parse_body(&response)?;
        if failure.may_take_effect {
            return Err(ToolError::Unconfirmed(failure.error.into()));
        }
        Err(ToolError::Refused(failure.error.into()))
    }

    /// Records the operator's statement that an incarnation has ended.
    pub(crate) async fn declare_ended(
        &self,
        incarnation: &str,
        reason: &str,
    ) -> Result<String, ToolError> {
        let path = format!("/ended/{incarnation}");
        let response = self
            .request_from_first("POST", &path, reason, EDIT_TIMEOUT_S)
            .await?;
        if response.status == 200 {
            return Ok(format!("recorded that {incarnation} has ended"));
        }
        let failure: EditFailure = parse_body(&response)?;
        Err(ToolError::Refused(failure.error.into()))
    }

    async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, ToolError> {
        parse_body(
            &self
                .request_from_first("GET", path, "", READ_TIMEOUT_S)
                .await?,
        )
    }

    async fn request_from_first(
        &self,
        method: &str,
        path: &str,
        body: &str,
        timeout_s: u64,
    ) -> Result<HostResponse, ToolError> {
        let mut last_failure = (String::new(), String::from("no host given"));
        for host in &self.hosts {
            let url = format!("http://{host}{path}");
            let result = timeout(
                Duration::from_secs(timeout_s),
                self.send_request(method, &url, body),
            )
            .await;
            match result {
                Ok(Ok(response)) if response.status != STATUS_NOT_FOUND => return Ok(response),
                Ok(Ok(_)) => last_failure = (host.to_string(), "not an admin address".into()),
                Ok(Err(error)) => last_failure = (host.to_string(), error.to_string()),
                Err(_) => {
                    last_failure = (
                        host.to_string(),
                        format!("no response within {timeout_s} s"),
                    )
                }
            }
        }
        Err(ToolError::Unreachable {
            host: last_failure.0,
            cause: last_failure.1,
        })
    }

    async fn send_request(
        &self,
        method: &str,
        url: &str,
        body: &str,
    ) -> cyper::Result<HostResponse> {
        let request = match method {
            "GET" => self.http.get(url)?,
            _ => self.http.post(url)?.body(body.to_owned()),
        };
        let response = request.send().await?;
        let status = response.status().as_u16();
        let body = response.text().await?;
        Ok(HostResponse { status, body })
    }
}

fn parse_body<T: DeserializeOwned>(response: &HostResponse) -> Result<T, ToolError> {
    serde_json::from_str(&response.body).map_err(|error| ToolError::Unreachable {
        host: "the host".into(),
        cause: format!("cannot decode its response: {error}"),
    })
}
