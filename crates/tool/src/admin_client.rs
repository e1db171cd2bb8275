//! Asks hosts over their admin address.

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

const READ_SECONDS: u64 = 3;
const EDIT_SECONDS: u64 = 12;
const NOT_FOUND: u16 = 404;

/// Asks hosts over their admin address, the first that answers.
pub(crate) struct AdminClient {
    hosts: Vec<SocketAddr>,
    http: Client,
}

/// Answer of a host.
struct HostAnswer {
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

    /// Status of the first host that answers.
    pub(crate) async fn status(&self) -> Result<StatusReport, ToolError> {
        self.read("/status").await
    }

    /// Folded configuration of the first host that answers.
    pub(crate) async fn config(&self) -> Result<ConfigReport, ToolError> {
        self.read("/config").await
    }

    /// Sends an edit; a repetition at the next host has the same number and is ignored.
    pub(crate) async fn edit(&self, call: &EditCall) -> Result<EditAnswer, ToolError> {
        let body = serde_json::to_string(call).unwrap_or_default();
        let answer = self
            .ask_in_turn("POST", "/edits", &body, EDIT_SECONDS)
            .await?;
        if let Ok(accepted) = serde_json::from_str::<EditAnswer>(&answer.body) {
            return Ok(accepted);
        }
        let failure: EditFailure = parse(&answer)?;
        if failure.may_take_effect {
            return Err(ToolError::Unconfirmed(failure.error.into()));
        }
        Err(ToolError::Refused(failure.error.into()))
    }

    /// Records that an incarnation has ended.
    pub(crate) async fn vouch_ended(
        &self,
        incarnation: &str,
        reason: &str,
    ) -> Result<String, ToolError> {
        let path = format!("/ended/{incarnation}");
        let answer = self
            .ask_in_turn("POST", &path, reason, EDIT_SECONDS)
            .await?;
        if answer.status == 200 {
            return Ok(format!("recorded that {incarnation} has ended"));
        }
        let failure: EditFailure = parse(&answer)?;
        Err(ToolError::Refused(failure.error.into()))
    }

    async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, ToolError> {
        parse(&self.ask_in_turn("GET", path, "", READ_SECONDS).await?)
    }

    async fn ask_in_turn(
        &self,
        method: &str,
        path: &str,
        body: &str,
        seconds: u64,
    ) -> Result<HostAnswer, ToolError> {
        let mut failure = (String::new(), String::from("no host was named"));
        for host in &self.hosts {
            let url = format!("http://{host}{path}");
            let asked = timeout(Duration::from_secs(seconds), self.ask(method, &url, body)).await;
            match asked {
                Ok(Ok(answer)) if answer.status != NOT_FOUND => return Ok(answer),
                Ok(Ok(_)) => failure = (host.to_string(), "it is no admin address".into()),
                Ok(Err(error)) => failure = (host.to_string(), error.to_string()),
                Err(_) => failure = (host.to_string(), format!("no answer within {seconds} s")),
            }
        }
        Err(ToolError::Unreachable {
            host: failure.0,
            cause: failure.1,
        })
    }

    async fn ask(&self, method: &str, url: &str, body: &str) -> cyper::Result<HostAnswer> {
        let request = match method {
            "GET" => self.http.get(url)?,
            _ => self.http.post(url)?.body(body.to_owned()),
        };
        let response = request.send().await?;
        let status = response.status().as_u16();
        let body = response.text().await?;
        Ok(HostAnswer { status, body })
    }
}

fn parse<T: DeserializeOwned>(answer: &HostAnswer) -> Result<T, ToolError> {
    serde_json::from_str(&answer.body).map_err(|error| ToolError::Unreachable {
        host: "the host".into(),
        cause: format!("its answer cannot be read: {error}"),
    })
}
