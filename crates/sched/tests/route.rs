//! Selection of routes and services.

use sched::route::{Limits, Route, Table, Target};

fn route(host: &str, prefix: &str, targets: &[(&str, u32)]) -> Route {
    let targets = targets
        .iter()
        .map(|(service, weight)| Target { service: (*service).into(), weight: *weight })
        .collect();
    Route {
        name: prefix.into(),
        host: host.into(),
        prefix: prefix.into(),
        targets,
        ..Route::default()
    }
}

fn table() -> Table {
    let routes = vec![
        route("a.example", "/", &[("x", 1)]),
        route("a.example", "/one/", &[("x", 1)]),
        route("a.example", "/one/two/", &[("x", 1)]),
        route("b.example", "/one/", &[("y", 1)]),
    ];
    Table::new(1, routes, Vec::new(), Limits::default())
}

macro_rules! lookups {
    ($($name:ident: $host:expr, $path:expr => $found:expr;)*) => {
        $(#[test] fn $name() {
            let table = table();
            let found = table.find($host, $path).map(|route| (&*route.host, &*route.prefix));
            assert_eq!(found, $found);
        })*
    };
}

lookups! {
    the_longest_prefix_wins: "a.example", "/one/two/x" => Some(("a.example", "/one/two/"));
    a_prefix_ends_at_a_slash: "a.example", "/one/twofold" => Some(("a.example", "/one/"));
    the_root_prefix_matches_all_other_paths: "a.example", "/other" => Some(("a.example", "/"));
    routes_of_other_hosts_do_not_match: "b.example", "/other" => None;
    the_port_of_the_host_is_ignored: "b.example:80", "/one/x" => Some(("b.example", "/one/"));
    an_unknown_host_has_no_route: "c.example", "/one/" => None;
}

#[test]
fn a_split_follows_its_weights_and_keeps_sessions_together() {
    let route = route("a", "/", &[("x", 90), ("y", 10)]);
    let sessions: Vec<String> = (0..10_000).map(|number| format!("line-{number}")).collect();
    let to_y = sessions
        .iter()
        .filter(|session| route.select_service(session).is_some_and(|s| s == "y"))
        .count();
    assert!(
        (800..1_200).contains(&to_y),
        "{to_y} of 10,000 sessions went to the service with a tenth of the weight"
    );
    assert_eq!(route.select_service("line-1"), route.select_service("line-1"));
}

#[test]
fn a_target_with_weight_zero_gets_no_requests() {
    let route = route("a", "/", &[("x", 0), ("y", 5)]);
    assert!((0..100).all(|key| route.select_service(&key.to_string()).is_some_and(|s| s == "y")));
}
