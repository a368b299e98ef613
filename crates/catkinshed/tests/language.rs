//! The operators' language, by the examples of its reference and by files of commands.
//!
//! Each file runs against one fresh daemon. In its `console` blocks, a line that starts with `> `
//! is a command, and the lines up to the next one are its answer, word for word.

use catkinshed::daemon::Daemon;
use operator::api::{Failure, Request, Response};
use std::path::Path;
use testing::cluster::{Cluster, OPERATOR_TOKEN, Spec};

/// Digits of a time in milliseconds since the Unix epoch.
const TIME_DIGITS: usize = 13;

type Outcome = Result<(), Box<dyn std::error::Error>>;

struct Example {
    command: String,
    expected: String,
}

fn examples(text: &str) -> Vec<Example> {
    let mut examples: Vec<Example> = Vec::new();
    let mut inside = false;
    for line in text.lines() {
        match (inside, line.strip_prefix("> ")) {
            (_, None) if line.starts_with("```") => inside = line == "```console",
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

async fn give(addr: &str, command: &str) -> Result<String, reqwest::Error> {
    let url = format!("http://{addr}/admin/v1/commands");
    let request = Request { command: command.to_owned() };
    let client = reqwest::Client::new();
    let answer = client.post(url).bearer_auth(OPERATOR_TOKEN).json(&request).send().await?;
    if answer.status().is_success() {
        return answer.json::<Response>().await.map(|response| response.render());
    }
    let failure: Failure = answer.json().await?;
    Ok(format!("error: {}\n", failure.message))
}

/// Replaces times in milliseconds, which differ from run to run.
fn timeless(text: &str) -> String {
    let digits = |word: &str| word.len() == TIME_DIGITS && word.bytes().all(|b| b.is_ascii_digit());
    let words = text.split(' ').map(|word| if digits(word) { "<time>" } else { word });
    words.collect::<Vec<_>>().join(" ")
}

/// Waits until the daemon owns all logs, so that answers do not depend on how far it has come.
async fn own_all_logs(addr: &str) -> Result<(), reqwest::Error> {
    let all = format!("show daemons where logs = {}", Spec::default().logs);
    while give(addr, &all).await?.lines().count() < 2 {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    Ok(())
}

fn answers_as_written(path: &Path) -> Outcome {
    let examples = examples(&std::fs::read_to_string(path)?);
    assert!(!examples.is_empty(), "the file has no example");
    let runtime = tokio::runtime::Runtime::new()?;
    let differing = runtime.block_on(async {
        let cluster = Cluster::start(Spec::default()).await;
        let settings = cluster.settings(0);
        let addr = settings.http_addr.to_string();
        let daemon = Daemon::start(settings).await?;
        daemon.ready().await;
        own_all_logs(&addr).await?;
        let mut differing = Vec::new();
        for example in examples {
            let answer = give(&addr, &example.command).await?;
            if timeless(&answer) != timeless(&example.expected) {
                let Example { command, expected } = example;
                differing.push(format!("> {command}\n{answer}--- expected\n{expected}"));
            }
        }
        daemon.stop().await?;
        Ok::<_, Box<dyn std::error::Error>>(differing)
    })?;
    assert!(differing.is_empty(), "{}", differing.join("\n"));
    Ok(())
}

datatest_stable::harness! {
    { test = answers_as_written, root = "../../docs", pattern = r"LANGUAGE\.md$" },
    { test = answers_as_written, root = "tests/commands", pattern = r"\.md$" },
}
