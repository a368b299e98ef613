//! The daemon's command line: exit codes, and errors that name file, line and key.

use std::path::PathBuf;
use std::process::{Command, Output};

const BINARY: &str = env!("CARGO_BIN_EXE_catkinshed");
const GOOD: &str = r#"{
    // A daemon of the first data centre.
    "vm": "entry-1",
    "dc": "dc-a",
    "http_addr": "127.0.0.1:8080",
    "peer_addr": "127.0.0.1:9080",
    "platform": {"kv": "http://127.0.0.1:1", "vms": "http://127.0.0.1:1/vms"},
    "keys_file": "keys.json"
}"#;
const KEYS: &str = r#"{"cluster": "a key of many bytes", "teams": {}, "operators": {}}"#;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str, settings: &str, keys: &str) -> Self {
        let folder =
            std::env::temp_dir().join(format!("catkinshed-cli-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        std::fs::write(folder.join("settings.json"), settings).expect("settings");
        std::fs::write(folder.join("keys.json"), keys).expect("keys");
        Self(folder)
    }

    fn check(&self) -> Output {
        let path = self.0.join("settings.json");
        run(&["--settings", path.to_str().expect("a path"), "--check"])
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // The folder may be gone already.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn run(args: &[&str]) -> Output {
    Command::new(BINARY).args(args).output().expect("the daemon runs")
}

/// Names each case: the settings and keys, the exit code, and what the error must name.
macro_rules! checked {
    ($($name:ident($settings:expr, $keys:expr) => $code:literal, [$($named:literal),*];)*) => {
        $(
            #[test]
            fn $name() {
                let folder = Folder::new(stringify!($name), &$settings, &$keys);
                let output = folder.check();
                let error = String::from_utf8_lossy(&output.stderr).into_owned();
                assert_eq!(output.status.code(), Some($code), "{error}");
                for named in [$($named),*] as [&str; 0 $(+ { let _: &str = $named; 1 })*] {
                    assert!(error.contains(named), "no '{named}' in: {error}");
                }
            }
        )*
    };
}

checked! {
    good_settings_pass(GOOD, KEYS) => 0, [];
    an_unknown_key_is_named(GOOD.replace("\"dc\"", "\"colour\": 1, \"dc\""), KEYS)
        => 2, ["settings.json", "line 4", "colour"];
    a_wrong_type_is_named(GOOD.replace("\"entry-1\"", "7"), KEYS) => 2, ["line 3", "'vm'"];
    a_nested_key_is_named(GOOD.replace("\"dc\": \"dc-a\",", "\"dc\": \"dc-a\", \"limits\": {\"allowance\": \"x\"},"), KEYS)
        => 2, ["limits.allowance"];
    a_value_out_of_range_is_named(GOOD.replace("\"dc\": \"dc-a\",", "\"dc\": \"dc-a\", \"limits\": {\"lease_ttl_ms\": 1500},"), KEYS)
        => 2, ["limits.lease_ttl_ms", "whole seconds"];
    a_short_cluster_key_is_named(GOOD, KEYS.replace("a key of many bytes", "short"))
        => 2, ["keys.json", "cluster"];
    a_missing_keys_file_is_named(GOOD.replace("keys.json", "nowhere.json"), KEYS)
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
fn a_wrong_option_exits_with_2() {
    assert_eq!(run(&["--colour"]).status.code(), Some(2));
    assert_eq!(run(&[]).status.code(), Some(2));
}

#[test]
fn the_checked_settings_are_printed_without_keys() {
    let folder = Folder::new("printed", GOOD, KEYS);
    let output = folder.check();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(text.contains("\"lease_ttl_ms\": 5000"), "{text}");
    assert!(!text.contains("many bytes"), "{text}");
}
