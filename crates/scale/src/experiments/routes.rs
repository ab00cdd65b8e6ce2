//! What routes cost an ingress: reading them at the start, a look-up, a change of one route, and a
//! replacement of all of them.

use crate::experiment::{Experiment, ExperimentError, Measurement, Unit};
use crate::probe::{measure, resident, Cost};
use driftgap_routes::{Catalog, Effect, NoHeaders, ReadOptions, Replaced, Request, Router, Rules};
use oorandom::Rand32;
use std::fmt::Write;
use std::hint::black_box;
use std::net::IpAddr;

const SIZES: [u64; 7] = [100, 300, 1_000, 3_000, 10_000, 30_000, 63_000];
const QUICK_SIZES: [u64; 4] = [30, 100, 300, 1_000];
/// Number of look-ups over which the cost of one is averaged.
const LOOK_UPS: u64 = 10_000;
/// Number of different requests among the look-ups.
const TARGETS: u64 = 500;
/// Number of pools in the mixed form.
const POOLS: u64 = 20;
/// Number of hosts in the mixed form.
const HOSTS: u64 = 50;
/// In the mixed form, one route of this many has a limit.
const LIMIT_INTERVAL: u64 = 50;
/// In the mixed form, one route of this many has a note.
const NOTE_INTERVAL: u64 = 10;
/// Memory limit for reading rules, bytes: more than the limit of an ingress, so that reading never
/// reaches it.
const MAX_BYTES: usize = 1 << 30;
/// Virtual time at which rules are replaced, ms.
const REPLACED_AT_MS: f64 = 60_000.0;
/// Longest deadline of a request, ms.
const MAX_DEADLINE_MS: f64 = 3_000.0;

/// The host and path of a request to look up.
#[derive(Clone, Copy, Debug)]
pub struct Target<'a> {
    /// Host of the request, if the request has one.
    pub host: Option<&'a str>,
    /// Path of the request.
    pub path: &'a str,
}

/// Routes in force: a wrapper around the parts of the `driftgap-routes` crate that the measurements
/// need.
pub struct RouteTable {
    router: Router,
}

impl RouteTable {
    /// Reads routes from a file's text and puts them in force.
    ///
    /// # Errors
    /// The text is invalid; the error contains the first fault.
    pub fn start(text: &str) -> Result<RouteTable, ExperimentError> {
        let mut table = RouteTable {
            router: Router::new(read(text, None)?),
        };
        table.pools_are_ready();
        Ok(table)
    }

    /// Reads routes from another text and reuses the unchanged parts of the routes in force. In the
    /// program, the reading thread does this work.
    ///
    /// # Errors
    /// The text is invalid; the error contains the first fault.
    pub fn read(&self, text: &str) -> Result<Rules, ExperimentError> {
        read(text, Some(self.router.rules()))
    }

    /// Replaces the routes in force. In the program, the serving thread does this work, and the
    /// reading thread drops the returned value.
    ///
    /// # Errors
    /// There are too many pools together with earlier ones that are still in use.
    pub fn exchange(&mut self, rules: Rules) -> Result<Replaced, ExperimentError> {
        let replaced = self.router.replace(rules, REPLACED_AT_MS, MAX_DEADLINE_MS);
        let replaced = replaced.map_err(|e| ExperimentError::Refused(e.to_string()))?;
        self.pools_are_ready();
        Ok(replaced)
    }

    /// Looks up the route of a request.
    pub fn look_up(&mut self, target: &Target<'_>) {
        let request = Request {
            protocol: "http2",
            method: "GET",
            path: target.path,
            query: None,
            host: target.host,
            headers: &NoHeaders,
            class: Some("fetch-episode"),
            plan: Some("city"),
            partner: Some("0000000000000007"),
            id: Some("1"),
            units: Some(1.0),
            deadline_ms: Some(900),
            retry: false,
            length: None,
            client: IpAddr::from([127, 0, 0, 1]),
        };
        black_box(self.router.route(black_box(&request), 0.0));
    }

    fn pools_are_ready(&mut self) {
        self.router.count_ready([u64::MAX].into_iter());
    }
}

fn read(text: &str, previous: Option<&Rules>) -> Result<Rules, ExperimentError> {
    let catalog = Catalog {
        classes: vec![("fetch-episode".into(), Effect::Pure)],
        plans: vec!["city".into()],
        max_units: 4.0,
    };
    let options = ReadOptions {
        previous,
        max_bytes: MAX_BYTES,
    };
    Rules::read_table(text, "routes.toml", None, &catalog, &options).map_err(|faults| {
        let first = faults
            .first()
            .map_or(String::new(), |fault| fault.line.clone());
        ExperimentError::Refused(first)
    })
}

/// A generated route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Route {
    number: u64,
    /// Random part of the path, which makes the path unique.
    token: u32,
}

impl Route {
    fn path(self) -> String {
        format!("/programmes/{:06}/{:08x}/", self.number, self.token)
    }

    fn host(self) -> String {
        format!("station-{:02}.example", self.number % HOSTS)
    }
}

/// The form in which routes are generated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    /// Each route tests a path prefix and names the pool of all backends.
    Simple,
    /// Each route tests a host and a path prefix and names one of 20 pools; every tenth route has a
    /// note, every fiftieth a limit.
    Mixed,
}

impl Form {
    fn text(self, routes: &[Route]) -> String {
        // The default cost limits are meant for small files, so higher ones are set.
        let mut text = String::from("[cost]\nexpression = 100000\nrequest = 10000000\n");
        if self == Form::Mixed {
            for pool in 0..POOLS {
                // Writing to a string does not fail.
                let _ = writeln!(
                    text,
                    "[[pool]]\nname = 'pool-{pool:02}'\nwhen = 'instance.cell == {pool}'"
                );
            }
        }
        for route in routes {
            self.write(&mut text, *route);
        }
        text
    }

    fn write(self, text: &mut String, route: Route) {
        let (number, path, host) = (route.number, route.path(), route.host());
        let _ = writeln!(text, "[[rule]]\nname = 'route-{number:06}'");
        match self {
            Form::Simple => {
                let _ = writeln!(
                    text,
                    "when = 'request.path.startsWith(\"{path}\")'\npool = '\"any\"'"
                );
            }
            Form::Mixed => {
                let pool = number % POOLS;
                let _ = writeln!(
                    text,
                    "when = 'request.host.orValue(\"\") == \"{host}\" && request.path.startsWith(\"{path}\")'"
                );
                let _ = writeln!(text, "pool = '\"pool-{pool:02}\"'");
                if number % NOTE_INTERVAL == 0 {
                    let _ = writeln!(text, "notes = {{ programme = '\"{number:06}\"' }}");
                }
                if number % LIMIT_INTERVAL == 0 {
                    let _ = writeln!(
                        text,
                        "limit = {{ key = 'request.partner.orValue(\"\")', rate = 1000000, burst = 1000000 }}"
                    );
                }
            }
        }
    }
}

fn routes(size: u64, random: &mut Rand32) -> Vec<Route> {
    (0..size)
        .map(|number| Route {
            number,
            token: random.rand_u32(),
        })
        .collect()
}

/// Measures routes of one form.
pub struct ByRoutes {
    form: Form,
}

impl ByRoutes {
    /// Creates the experiment with routes that test a path prefix.
    pub fn simple() -> ByRoutes {
        ByRoutes { form: Form::Simple }
    }

    /// Creates the experiment with routes that test a host and a path prefix; some have notes and
    /// limits.
    pub fn mixed() -> ByRoutes {
        ByRoutes { form: Form::Mixed }
    }

    fn look_up_cost(
        &self,
        table: &mut RouteTable,
        routes: &[Route],
        random: &mut Rand32,
    ) -> [Measurement; 2] {
        let pick = |_| routes[random.rand_range(0..routes.len() as u32) as usize];
        let targets: Vec<(String, String)> = (0..TARGETS)
            .map(pick)
            .map(|route: Route| (route.host(), format!("{}audio", route.path())))
            .collect();
        let mut look_up_all = || {
            for number in 0..LOOK_UPS {
                let (host, path) = &targets[(number % TARGETS) as usize];
                table.look_up(&Target {
                    host: Some(host),
                    path,
                });
            }
        };
        // The first run lets buffers grow to their final size.
        look_up_all();
        let ((), cost) = measure(look_up_all);
        cost.each(LOOK_UPS).allocations_and_cpu("look_up")
    }
}

/// Measures the replacement of the routes in force: the total cost, and the part of the serving
/// thread.
fn replacement(
    table: &mut RouteTable,
    text: &str,
    step: &str,
) -> Result<Vec<Measurement>, ExperimentError> {
    let (rules, reading) = measure(|| table.read(text));
    let rules = rules?;
    let (replaced, exchange) = measure(|| table.exchange(rules));
    let replaced = replaced?;
    let ((), dropping) = measure(|| drop(replaced));
    let all = Cost {
        heap: reading.heap + exchange.heap + dropping.heap,
        peak: reading.peak.max(reading.heap.max(0) as u64 + exchange.peak),
        allocations: reading.allocations + exchange.allocations,
        cpu: reading.cpu + exchange.cpu + dropping.cpu,
    };
    let mut results = all.measurements(step).to_vec();
    results.extend(exchange.allocations_and_cpu(&format!("{step}_exchange")));
    Ok(results)
}

impl Experiment for ByRoutes {
    fn name(&self) -> &'static str {
        match self.form {
            Form::Simple => "routes",
            Form::Mixed => "routes-mixed",
        }
    }

    fn description(&self) -> &'static str {
        match self.form {
            Form::Simple => "Routes that test a path's beginning and name the pool of all backends",
            Form::Mixed => {
                "Routes that test one of 50 hosts and a path's beginning and name one of 20 pools; every 10th has a \
                 note, every 50th a limit"
            }
        }
    }

    fn axis(&self) -> &'static str {
        "routes"
    }

    fn sizes(&self, quick: bool) -> Vec<u64> {
        if quick {
            QUICK_SIZES.to_vec()
        } else {
            SIZES.to_vec()
        }
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ExperimentError> {
        let mut random = Rand32::new(seed);
        let mut current = routes(size, &mut random);
        let mut results = Vec::new();

        let text = self.form.text(&current);
        results.push(Measurement::counted(
            "file_bytes",
            Unit::Bytes,
            text.len() as f64,
        ));
        let before = resident();
        let (table, cost) = measure(|| RouteTable::start(&text));
        let mut table = table?;
        results.extend(cost.measurements("start"));
        let growth = resident().saturating_sub(before);
        results.push(Measurement::timed(
            "start_resident",
            Unit::Bytes,
            growth as f64,
        ));
        results.extend(self.look_up_cost(&mut table, &current, &mut random));

        let middle = current.len() / 2;
        current[middle].token = random.rand_u32();
        let text = self.form.text(&current);
        results.extend(replacement(&mut table, &text, "one_changed")?);

        let others = routes(size, &mut random);
        let text = self.form.text(&others);
        results.extend(replacement(&mut table, &text, "all_changed")?);
        Ok(results)
    }
}
