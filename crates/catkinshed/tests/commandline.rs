//! Tests the command line of the daemon: exit codes, and errors that name the file, line and key.

use std::path::PathBuf;
use std::process::{Command, Output};

const BINARY: &str = env!("CARGO_BIN_EXE_catkinshed");
const VALID_SETTINGS: &str = r#"{
    // A daemon of the first data centre.
    "vm": "entry-1",
    "dc": "dc-a",
    "http_addr": "127.0.0.1:8080",
    "peer_addr": "127.0.0.1:9080",
    "platform": {"kv": "http://127.0.0.1:1", "vms": "http://127.0.0.1:1/vms"},
    "keys_file": "keys.json"
}"#;
const KEYS: &str = r#"{"cluster": "a key of many bytes", "teams": {}, "operators": {}}"#;

struct TempDir(PathBuf);

impl TempDir {
    fn new(name: &str, settings: &str, keys: &str) -> Self {
        let directory =
            std::env::temp_dir().join(format!("catkinshed-cli-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("failed to create the directory");
        std::fs::write(directory.join("settings.json"), settings)
            .expect("failed to write the settings");
        std::fs::write(directory.join("keys.json"), keys).expect("failed to write the keys");
        Self(directory)
    }

    fn check(&self) -> Output {
        let path = self.0.join("settings.json");
        run(&["--settings", path.to_str().expect("the path is not valid UTF-8"), "--check"])
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        // The directory may have been removed already.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn run(args: &[&str]) -> Output {
    Command::new(BINARY).args(args).output().expect("failed to run the daemon")
}

/// Defines one test per case: settings and keys, the exit code, and texts that the error contains.
macro_rules! check_settings {
    ($($name:ident($settings:expr, $keys:expr) => $code:literal, [$($text:literal),*];)*) => {
        $(
            #[test]
            fn $name() {
                let directory = TempDir::new(stringify!($name), &$settings, &$keys);
                let output = directory.check();
                let error = String::from_utf8_lossy(&output.stderr).into_owned();
                assert_eq!(output.status.code(), Some($code), "{error}");
                for text in [$($text),*] as [&str; 0 $(+ { let _: &str = $text; 1 })*] {
                    assert!(error.contains(text), "no '{text}' in: {error}");
                }
            }
        )*
    };
}

check_settings! {
    valid_settings_pass(VALID_SETTINGS, KEYS) => 0, [];
    the_error_names_an_unknown_key(VALID_SETTINGS.replace("\"dc\"", "\"colour\": 1, \"dc\""), KEYS)
        => 2, ["settings.json", "line 4", "colour"];
    the_error_names_a_key_of_the_wrong_type(VALID_SETTINGS.replace("\"entry-1\"", "7"), KEYS) => 2, ["line 3", "'vm'"];
    the_error_names_a_nested_key(VALID_SETTINGS.replace("\"dc\": \"dc-a\",", "\"dc\": \"dc-a\", \"limits\": {\"allowance\": \"x\"},"), KEYS)
        => 2, ["limits.allowance"];
    the_error_names_a_key_whose_value_is_out_of_range(VALID_SETTINGS.replace("\"dc\": \"dc-a\",", "\"dc\": \"dc-a\", \"limits\": {\"lease_ttl_ms\": 1500},"), KEYS)
        => 2, ["limits.lease_ttl_ms", "whole seconds"];
    the_error_names_a_short_cluster_key(VALID_SETTINGS, KEYS.replace("a key of many bytes", "short"))
        => 2, ["keys.json", "cluster"];
    the_error_names_a_missing_keys_file(VALID_SETTINGS.replace("keys.json", "nowhere.json"), KEYS)
        => 2, ["nowhere.json"];
}

#[test]
fn the_version_and_the_help_are_printed() {
    let version = run(&["--version"]);
    assert!(version.status.success());
    assert!(String::from_utf8_lossy(&version.stdout).starts_with("catkinshed "));
    let help = run(&["--help"]);
    assert!(help.status.success());
    assert!(String::from_utf8_lossy(&help.stdout).contains("--settings"));
}

#[test]
fn an_invalid_command_line_exits_with_2() {
    assert_eq!(run(&["--colour"]).status.code(), Some(2));
    assert_eq!(run(&[]).status.code(), Some(2));
}

#[test]
fn the_checked_settings_are_printed_without_keys() {
    let directory = TempDir::new("printed", VALID_SETTINGS, KEYS);
    let output = directory.check();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(text.contains("\"lease_ttl_ms\": 5000"), "{text}");
    assert!(!text.contains("many bytes"), "{text}");
}
