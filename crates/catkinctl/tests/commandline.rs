//! Runs the `catkinctl` binary against a daemon on the loopback interface.

use catkinshed::daemon::Daemon;
use std::io::Write;
use std::process::{Command, Output, Stdio};
use testing::cluster::{CREW_TOKEN, Cluster, OPERATOR_TOKEN, Spec};

const BINARY: &str = env!("CARGO_BIN_EXE_catkinctl");

struct TestDaemon {
    _cluster: Cluster,
    _daemon: Daemon,
    addr: String,
}

impl TestDaemon {
    async fn start() -> Self {
        let cluster = Cluster::start(Spec::default()).await;
        let settings = cluster.settings(0);
        let addr = settings.http_addr.to_string();
        let daemon = Daemon::start(settings).await.expect("failed to start the daemon");
        daemon.ready().await;
        Self { _cluster: cluster, _daemon: daemon, addr }
    }

    async fn run(&self, token: &str, args: &[&str], input: &str) -> Output {
        let mut arguments = vec!["--daemon", &self.addr, "--token", token];
        arguments.extend(args);
        let arguments: Vec<String> = arguments.into_iter().map(str::to_owned).collect();
        let input = input.to_owned();
        let output = tokio::task::spawn_blocking(move || run(&arguments, &input));
        output.await.expect("the task that runs the command panicked")
    }
}

fn run(arguments: &[String], input: &str) -> Output {
    let mut child = Command::new(BINARY)
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("failed to start the command");
    let mut stdin = child.stdin.take().expect("the command has no standard input");
    stdin.write_all(input.as_bytes()).expect("failed to write the input");
    drop(stdin);
    child.wait_with_output().expect("failed to wait for the command")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn one_command_prints_a_table_or_json() {
    let daemon = TestDaemon::start().await;
    let table = daemon.run(OPERATOR_TOKEN, &["show", "teams"], "").await;
    assert!(table.status.success(), "{}", text(&table.stderr));
    assert!(text(&table.stdout).starts_with("team  share  max_programs\n"));
    let json = daemon.run(OPERATOR_TOKEN, &["--json", "show teams"], "").await;
    let json: serde_json::Value =
        serde_json::from_slice(&json.stdout).expect("the output is not JSON");
    assert_eq!(json["table"]["rows"][0]["team"], "crew");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_script_stops_at_the_first_failed_line() {
    let daemon = TestDaemon::start().await;
    let script =
        "# harvest\nset team crew share=2\nset team crew colour=2\nset team crew share=9\n";
    let output = daemon.run(OPERATOR_TOKEN, &[], script).await;
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).contains("line 3"), "{}", text(&output.stderr));
    let shown = daemon.run(OPERATOR_TOKEN, &["show teams where team = crew"], "").await;
    assert!(text(&shown.stdout).contains("crew  2"), "{}", text(&shown.stdout));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rejected_token_and_an_unreachable_daemon_are_reported() {
    let daemon = TestDaemon::start().await;
    let rejected = daemon.run(CREW_TOKEN, &["show teams"], "").await;
    assert_eq!(rejected.status.code(), Some(1));
    assert!(text(&rejected.stderr).contains("operator"), "{}", text(&rejected.stderr));
    let arguments = ["--daemon", "127.0.0.1:1", "--token", "x", "show teams"].map(str::to_owned);
    let unreachable = run(&arguments, "");
    assert!(
        text(&unreachable.stderr).contains("try another daemon"),
        "{}",
        text(&unreachable.stderr)
    );
    assert_eq!(run(&[], "").status.code(), Some(2));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_submitted_program_prints_its_answer() {
    let daemon = TestDaemon::start().await;
    let args = ["--submit", "Where is the van? [[len=3]]", "--account", "crew-tokens"];
    let output = daemon.run(CREW_TOKEN, &args, "").await;
    assert!(output.status.success(), "{}", text(&output.stderr));
    assert_eq!(text(&output.stdout).matches('#').count(), 3);
}
