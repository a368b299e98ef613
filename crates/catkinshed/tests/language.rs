//! Tests the operators' command language against the examples in its reference and in `commands/`.
//!
//! The examples of each file run against a new daemon. In a `console` block, a line that starts
//! with `> ` is a command, and the lines up to the next command are its expected output. Outputs
//! are compared literally, except for times.

use catkinshed::daemon::Daemon;
use operator::api::{Failure, Request, Response};
use std::path::Path;
use testing::cluster::{Cluster, OPERATOR_TOKEN, Spec};

/// Number of digits of a time in milliseconds since the Unix epoch.
const TIME_DIGITS: usize = 13;

type Outcome = Result<(), Box<dyn std::error::Error>>;

struct Example {
    command: String,
    expected: String,
}

fn examples(text: &str) -> Vec<Example> {
    let mut examples: Vec<Example> = Vec::new();
    let mut in_console = false;
    for line in text.lines() {
        match (in_console, line.strip_prefix("> ")) {
            (_, None) if line.starts_with("```") => in_console = line == "```console",
            (true, Some(command)) => {
                examples.push(Example { command: command.to_owned(), expected: String::new() });
            }
            (true, None) => {
                if let Some(example) = examples.last_mut() {
                    example.expected.push_str(line);
                    example.expected.push('\n');
                }
            }
            (false, _) => {}
        }
    }
    examples
}

async fn run_command(addr: &str, command: &str) -> Result<String, reqwest::Error> {
    let url = format!("http://{addr}/admin/v1/commands");
    let request = Request { command: command.to_owned() };
    let client = reqwest::Client::new();
    let response = client.post(url).bearer_auth(OPERATOR_TOKEN).json(&request).send().await?;
    if response.status().is_success() {
        return response.json::<Response>().await.map(|response| response.render());
    }
    let failure: Failure = response.json().await?;
    Ok(format!("error: {}\n", failure.message))
}

/// Replaces times in milliseconds, which differ between runs, by a placeholder.
fn mask_times(text: &str) -> String {
    let is_time =
        |word: &str| word.len() == TIME_DIGITS && word.bytes().all(|b| b.is_ascii_digit());
    let words = text.split(' ').map(|word| if is_time(word) { "<time>" } else { word });
    words.collect::<Vec<_>>().join(" ")
}

/// Waits until the daemon owns all logs, so that the outputs do not depend on its startup progress.
async fn wait_for_all_logs(addr: &str) -> Result<(), reqwest::Error> {
    let command = format!("show daemons where logs = {}", Spec::default().logs);
    while run_command(addr, &command).await?.lines().count() < 2 {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    Ok(())
}

fn outputs_match_examples(path: &Path) -> Outcome {
    let examples = examples(&std::fs::read_to_string(path)?);
    assert!(!examples.is_empty(), "the file has no examples");
    let runtime = tokio::runtime::Runtime::new()?;
    let mismatches = runtime.block_on(async {
        let cluster = Cluster::start(Spec::default()).await;
        let settings = cluster.settings(0);
        let addr = settings.http_addr.to_string();
        let daemon = Daemon::start(settings).await?;
        daemon.ready().await;
        wait_for_all_logs(&addr).await?;
        let mut mismatches = Vec::new();
        for example in examples {
            let output = run_command(&addr, &example.command).await?;
            if mask_times(&output) != mask_times(&example.expected) {
                let Example { command, expected } = example;
                mismatches.push(format!("> {command}\n{output}--- expected\n{expected}"));
            }
        }
        daemon.stop().await?;
        Ok::<_, Box<dyn std::error::Error>>(mismatches)
    })?;
    assert!(mismatches.is_empty(), "{}", mismatches.join("\n"));
    Ok(())
}

datatest_stable::harness! {
    { test = outputs_match_examples, root = "../../docs", pattern = r"LANGUAGE\.md$" },
    { test = outputs_match_examples, root = "tests/commands", pattern = r"\.md$" },
}
