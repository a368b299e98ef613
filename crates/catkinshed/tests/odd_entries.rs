//! Checks that odd values of other writers harm nobody but their own endpoint.

use serde_json::{Value, json};
use std::time::{Duration, Instant};
use testing::gateway_harness::{Harness, WAIT_TIMEOUT, config, route};
use testing::script::{Behaviour, Endpoint};

const BINARY: &str = env!("CARGO_BIN_EXE_catkinshed");

/// Returns a registration of service `s` in which the member `name` is `value`.
fn registration_with(name: &str, value: Value) -> Value {
    let mut registration = json!({
        "backend": "s", "address": "127.0.0.1:9", "zone": "dc-1", "version": "v1", "slots": 4,
        "state": "ready", "call_seq": 1, "born": 1,
    });
    registration[name] = value;
    registration
}

/// Returns JSON arrays nested to this depth.
fn nested(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

/// Returns entries that name no endpoint, as another writer may leave them.
fn odd_entries() -> Vec<(&'static str, String)> {
    let text = |name, value| registration_with(name, value).to_string();
    let usual = registration_with("slots", json!(4)).to_string();
    vec![
        ("nested", nested(100_000)),
        ("nested-slots", usual.replace("\"slots\":4", &format!("\"slots\":{}", nested(100_000)))),
        ("large-slots", text("slots", json!(u64::MAX))),
        ("larger-slots", usual.replace("\"slots\":4", "\"slots\":1e400")),
        ("no-slots", text("slots", json!(0))),
        ("many-slots", text("slots", json!(4_000_000_000_u32))),
        ("large-port", text("address", json!("127.0.0.1:99999"))),
        ("no-port", text("address", json!("127.0.0.1:0"))),
        ("no-host", text("address", json!("0.0.0.0:80"))),
        ("no-service", text("backend", json!(""))),
        ("state", text("state", json!("asleep"))),
        ("born", text("born", json!(-1))),
        ("bytes", "\u{0}\u{1}".to_owned()),
    ]
}

/// Waits until requests through the daemon reach the endpoint.
async fn wait_until_used(harness: &Harness, endpoint: &Endpoint) {
    let started = Instant::now();
    for number in 0.. {
        let id = format!("{}-{number}", endpoint.id);
        harness.request(0, "/safe/x", &id, &["Deadline-Ms: 1500"]).await;
        if !endpoint.runs().is_empty() {
            return;
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "{} is not used", endpoint.id);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a daemon that ends, or stops following the registrations, because of an odd one.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_registration_ends_a_daemon_or_its_watch() {
    let first = Endpoint::start("e-first", Behaviour::Respond).await;
    let mut harness = Harness::start(BINARY, "odd", 1, &[&first]).await;
    for (name, value) in odd_entries() {
        let key = format!("servers/odd-{name}");
        let written = harness.kv_client.create(&key, value.as_bytes(), None).await;
        written.expect("an odd entry is written");
        let later = Endpoint::start(&format!("e-{name}"), Behaviour::Respond).await;
        harness.register(&later, "ready").await;
        wait_until_used(&harness, &later).await;
        harness.deregister(&later).await;
    }
    // A new daemon lists all of them at once.
    harness.daemons[0].restart();
    harness.daemons[0].ready().await;
    for number in 0..20 {
        let response = harness.request(0, "/safe/x", &format!("r-{number}"), &[]).await;
        assert_eq!(response.status, 200, "request {number}");
    }
}

/// Guards against an endpoint that is lost for good once its registration was odd for a while.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_whose_registration_was_odd_does_not_come_back() {
    let endpoint = Endpoint::start("e-1", Behaviour::Respond).await;
    let harness = Harness::start(BINARY, "odd-change", 1, &[&endpoint]).await;
    wait_until_used(&harness, &endpoint).await;
    let odd = registration_with("address", json!("127.0.0.1:99999"));
    harness.put("servers/e-1", &odd).await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert_eq!(harness.request(0, "/safe/x", "r-odd", &[]).await.status, 503);
    harness.register(&endpoint, "ready").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(harness.request(0, "/safe/x", "r-back", &[]).await.status, 200);
}

/// Returns a configuration whose first route has this member.
fn config_with(version: u64, name: &str, value: Value) -> Value {
    let mut config = config(version);
    config["routes"][0][name] = value;
    config
}

/// Guards against a daemon that follows no configuration after one with a value out of range.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_out_of_range_ends_the_watch() {
    let endpoint = Endpoint::start("e-1", Behaviour::Respond).await;
    let harness = Harness::start(BINARY, "odd-config", 1, &[&endpoint]).await;
    let odd = [
        ("retention_s", json!(-1.0)),
        ("retention_s", json!(1e30)),
        ("timeout_ms", json!(1e22)),
        ("timeout_ms", json!(-1e22)),
        ("traffic_split", json!([{ "backend": "s", "weight": 1e300 }])),
    ];
    for (number, (name, value)) in odd.into_iter().enumerate() {
        let version = 2 + 2 * number as u64;
        harness.configure(&config_with(version, name, value.clone())).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        let response = harness.request(0, "/safe/x", &format!("r-{number}"), &[]).await;
        assert_eq!(response.status, 200, "{name}: {value}");
        let (mut next, prefix) = (config(version + 1), format!("added-{number}"));
        next["routes"].as_array_mut().expect("routes").push(route(&prefix, "safe", "s", 2));
        harness.configure(&next).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        let path = format!("/{prefix}/x");
        let response = harness.request(0, &path, &format!("n-{number}"), &[]).await;
        assert_eq!(response.status, 200, "after {name}: {value}");
    }
}

/// Guards against a daemon that drops its configuration for one that cannot be decoded or comes again
/// in another form, or that follows none after it.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_that_cannot_be_decoded_takes_effect_or_hides_the_next_one() {
    let endpoint = Endpoint::start("e-1", Behaviour::Respond).await;
    let harness = Harness::start(BINARY, "undecodable", 1, &[&endpoint]).await;
    let mut without_version = config(2);
    without_version.as_object_mut().expect("an object").remove("version");
    // The same version with other routes: the first one stays in force.
    let mut again = config(1);
    again["routes"] = json!([]);
    let odd = [
        json!("no configuration"),
        without_version,
        config_with(2, "priority", json!(4_000)),
        config_with(2, "kind", json!(null)),
        config_with(2, "timeout_ms", json!("soon")),
        again,
    ];
    for (number, document) in odd.iter().enumerate() {
        harness.configure(document).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        let response = harness.request(0, "/safe/x", &format!("r-{number}"), &[]).await;
        assert_eq!(response.status, 200, "{document}");
    }
    let url = format!("http://{}/metrics", harness.daemons[0].settings.probe_addr);
    let metrics = reqwest::get(url).await.expect("no metrics").text().await.expect("no metrics");
    let counted = |outcome: &str| {
        let line = metrics
            .lines()
            .find(|line| line.starts_with("configurations_total") && line.contains(outcome));
        line.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).unwrap_or_default()
    };
    assert_eq!((counted("undecodable"), counted("known")), (5.0, 1.0), "{metrics}");
    let mut next = config(3);
    next["routes"].as_array_mut().expect("routes").push(route("added", "safe", "s", 2));
    harness.configure(&next).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let response = harness.request(0, "/added/x", "r-next", &[]).await;
    assert_eq!(response.status, 200, "the configuration after them");
}

macro_rules! odd_headers {
    ($($(#[$doc:meta])* $name:ident: $header:expr;)*) => {
        $($(#[$doc])* #[tokio::test(flavor = "multi_thread")] async fn $name() {
            let endpoint = Endpoint::start("e-1", Behaviour::RespondWith($header)).await;
            let harness = Harness::start(BINARY, stringify!($name), 1, &[&endpoint]).await;
            for number in 0..5 {
                let id = format!("r-{number}");
                let response = harness.request(0, "/unsafe/x", &id, &["Deadline-Ms: 1000"]).await;
                assert_eq!((response.status, response.complete), (200, true), "request {number}");
            }
        })*
    };
}

odd_headers! {
    /// Guards against responses that are lost to an idle time beyond the clock.
    an_idle_time_beyond_the_clock_loses_responses: "Keep-Alive: timeout=18446744073709551615";
    /// Guards against the same for a limit near zero requests per second.
    a_limit_near_zero_loses_responses: "Server-Limit: 1e300";
}
