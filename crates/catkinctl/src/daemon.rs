//! Client of the administration API of a daemon.

use anyhow::{Context, Result, bail};
use operator::api::{Failure, Request, Response};

/// Client of the administration API of one daemon.
pub struct Client {
    http: reqwest::Client,
    addr: String,
    token: String,
    json: bool,
}

impl Client {
    /// Creates a client of the daemon at `addr`, an IP address and port.
    ///
    /// With `json`, [`Client::run`] prints responses as JSON instead of text.
    pub fn new(addr: &str, token: &str, json: bool) -> Self {
        let http = reqwest::Client::new();
        Self { http, addr: addr.to_owned(), token: token.to_owned(), json }
    }

    /// Sends one command and returns the response.
    ///
    /// # Errors
    ///
    /// Returns the daemon's error message when the command failed, or an error when the daemon
    /// cannot be reached or rejects the token.
    pub async fn send(&self, command: &str) -> Result<Response> {
        let url = format!("http://{}/admin/v1/commands", self.addr);
        let request = Request { command: command.to_owned() };
        let result = self.http.post(url).bearer_auth(&self.token).json(&request).send().await;
        let response = result.with_context(|| {
            format!("failed to reach the daemon at {}; try another daemon", self.addr)
        })?;
        if response.status().is_success() {
            return response.json().await.context("failed to decode the daemon's response");
        }
        if response.status().as_u16() == 401 {
            bail!("the daemon rejected the token: it is not an operator's token");
        }
        let status = response.status();
        match response.json::<Failure>().await {
            Ok(failure) => bail!("{}", failure.message),
            Err(_) => bail!("the daemon responded with status {status} and no error message"),
        }
    }

    /// Sends one command and prints the response to standard output.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Client::send`].
    pub async fn run(&self, command: &str) -> Result<()> {
        let response = self.send(command).await?;
        match self.json {
            true => println!("{}", serde_json::to_string_pretty(&response)?),
            false => print!("{}", response.render()),
        }
        Ok(())
    }
}
