//! The administration interface of a daemon.

use anyhow::{Context, Result, bail};
use operator::api::{Failure, Request, Response};

/// Connection to a daemon's administration interface.
pub struct Daemon {
    http: reqwest::Client,
    addr: String,
    token: String,
    json: bool,
}

impl Daemon {
    /// Prepares commands to the daemon at `addr`, an IP address and port.
    pub fn new(addr: &str, token: &str, json: bool) -> Self {
        let http = reqwest::Client::new();
        Self { http, addr: addr.to_owned(), token: token.to_owned(), json }
    }

    /// Gives one command.
    ///
    /// # Errors
    ///
    /// Returns an error with the daemon's reason when the command is refused.
    pub async fn give(&self, command: &str) -> Result<Response> {
        let url = format!("http://{}/admin/v1/commands", self.addr);
        let request = Request { command: command.to_owned() };
        let sent = self.http.post(url).bearer_auth(&self.token).json(&request).send().await;
        let answer =
            sent.with_context(|| format!("{} does not answer; try another daemon", self.addr))?;
        if answer.status().is_success() {
            return answer.json().await.context("the answer cannot be read");
        }
        if answer.status().as_u16() == 401 {
            bail!("the token is not an operator's");
        }
        let status = answer.status();
        match answer.json::<Failure>().await {
            Ok(failure) => bail!("{}", failure.message),
            Err(_) => bail!("the daemon answered with status {status}"),
        }
    }

    /// Gives one command and prints the answer.
    ///
    /// # Errors
    ///
    /// Returns an error with the daemon's reason when the command is refused.
    pub async fn print(&self, command: &str) -> Result<()> {
        let response = self.give(command).await?;
        match self.json {
            true => println!("{}", serde_json::to_string_pretty(&response)?),
            false => print!("{}", response.render()),
        }
        Ok(())
    }
}
