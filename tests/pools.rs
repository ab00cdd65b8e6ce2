//! Pools of many endpoints: the cost of replacing the rules while many endpoints are listed.

use driftgap::config::settings::Config;
use driftgap::decision::ListKind;
use driftgap::routing::catalog;
use driftgap::runtime::clock::Clock;
use driftgap::runtime::dispatcher::Dispatcher;
use driftgap_routes::Rules;
use std::rc::Rc;
use std::time::{Duration, Instant};

const SETTINGS: &str = include_str!("stage/settings.json");
const ENDPOINTS: usize = 20_000;

/// A dispatcher with `ENDPOINTS` endpoints in its registry, each with one of eight labels.
fn dispatcher(config: &Config) -> Rc<Dispatcher> {
    let dispatcher =
        Dispatcher::new(config, config.memory_mb, None, Clock::system(), false).unwrap();
    let server = |number: usize| {
        let (high, low, label) = (number / 256, number % 256, number % 8);
        format!(
            r#"{{"id":"i{number}","addr":"10.0.{high}.{low}:80","zone":"building-1","kind":"small-2c","cell":0,
                "state":"active","weight":1.0,"started_ms":0,"protocol":"resp","labels":{{"pool":"p{label}"}}}}"#
        )
    };
    let servers: Vec<String> = (0..ENDPOINTS).map(server).collect();
    let list = format!(
        r#"{{"version":1,"full":true,"servers":[{}]}}"#,
        servers.join(",")
    );
    let update = dispatcher
        .registry()
        .apply_list(&serde_json::from_str(&list).unwrap())
        .unwrap();
    dispatcher.update_endpoints(ListKind::Full, update.entries);
    dispatcher
}

/// Rules with this number of pools, selected by label.
fn rules(config: &Config, pools: usize) -> Rules {
    let pool = |number: usize| {
        format!(
            "[[pool]]\nname = 'p{number}'\nwhen = 'instance.labels[\"pool\"].orValue(\"\") == \"p{number}\"'\n"
        )
    };
    let text: String = (0..pools).map(pool).collect();
    Rules::read(&text, "rules.toml", &catalog(&config.platform)).unwrap()
}

/// The rules are replaced without a new pool. If every endpoint were notified of its pools anyway,
/// a large fleet would block the serving thread.
#[test]
fn replacing_rules_without_new_pools_is_independent_of_endpoint_count() {
    const REPLACEMENTS: usize = 21;
    const MAX: Duration = Duration::from_millis(1);
    let config = format!(r#"{{"listen":"127.0.0.1:1","settings":{SETTINGS}}}"#);
    let config = Config::parse(&config).unwrap();
    let dispatcher = dispatcher(&config);
    dispatcher.replace_rules(rules(&config, 8)).unwrap();
    let all = dispatcher.pool_statistics().unwrap().ready;
    assert_eq!(
        all,
        (0..8)
            .map(|pool| format!("p{pool}={}", ENDPOINTS / 8))
            .collect::<Vec<_>>()
            .join(" ")
    );
    let mut durations: Vec<Duration> = (0..REPLACEMENTS)
        .map(|_| {
            let rules = rules(&config, 8);
            let started = Instant::now();
            let replaced = dispatcher.replace_rules(rules).unwrap().unwrap();
            let duration = started.elapsed();
            assert!(!replaced.has_new_pools());
            duration
        })
        .collect();
    durations.sort();
    assert_eq!(dispatcher.pool_statistics().unwrap().ready, all);
    let more = rules(&config, 9);
    let started = Instant::now();
    assert!(dispatcher
        .replace_rules(more)
        .unwrap()
        .unwrap()
        .has_new_pools());
    println!(
        "{ENDPOINTS} endpoints: median {:?}, with a new pool {:?}",
        durations[REPLACEMENTS / 2],
        started.elapsed()
    );
    // The median is checked because other processes on the machine may delay single replacements.
    assert!(durations[REPLACEMENTS / 2] < MAX, "{durations:?}");
}
