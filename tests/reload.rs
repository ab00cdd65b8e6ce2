//! Reload of rules under load: the real program with thousands of rules, and rule files that are
//! edited, truncated or invalid.

mod stage;

use oorandom::Rand64;
use stage::steady::{Answer, Class, SentRequest, SequentialClients};
use stage::{run, Stage, Wire};
use std::collections::{BTreeSet, HashMap};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

/// Rules of a file that match no request of the test, in addition to the rules that identify the
/// file.
const UNMATCHED_RULES: usize = 2_000;
/// Tenants whose requests are refused by no file, by every other file, and by every file.
const REFUSED_BY_NONE: u64 = 7;
const REFUSED_BY_EVEN: u64 = 8;
const REFUSED_BY_ALL: u64 = 9;
/// The retry-after of a refusal is this offset plus the number of the file, ms. The offsets exceed
/// every retry-after of the decision module.
const EVEN_OFFSET_MS: u64 = 100_000;
const ALL_OFFSET_MS: u64 = 200_000;
/// Added to the number of an invalid file. Exceeds the number of every valid file.
const INVALID_FILE_OFFSET: u64 = 50_000;
/// Time limit of one test.
const TEST_TIMEOUT: Duration = Duration::from_secs(120);

/// A rule that matches no request of the test: its name, and the number of the file that changed it
/// last.
#[derive(Clone, Copy)]
struct UnmatchedRule {
    name: usize,
    changed: u64,
}

impl UnmatchedRule {
    fn text(self) -> String {
        let UnmatchedRule { name, changed } = self;
        format!(
            "[[rule]]\nname = 'r{name}'\nwhen = 'request.path.startsWith(\"/r{name}/{changed}/\")'\n\
             notes = {{ changed = '\"{changed}\"' }}\n"
        )
    }
}

/// A rule file. Its number can be read from the refusals of its rules.
struct RuleFile {
    number: u64,
    unmatched_rules: Vec<UnmatchedRule>,
    /// The number in the name of the next new rule.
    next_name: usize,
}

impl RuleFile {
    fn new(rules: usize) -> RuleFile {
        let unmatched_rules = (0..rules)
            .map(|name| UnmatchedRule { name, changed: 0 })
            .collect();
        RuleFile {
            number: 0,
            unmatched_rules,
            next_name: rules,
        }
    }

    /// Edits the file: changes some rules, replaces some by new ones, and moves others.
    fn edit(&mut self, random: &mut Rand64) {
        self.number += 1;
        for _ in 0..1 + random_index(random, 20) {
            let (at, to) = (
                random_index(random, self.unmatched_rules.len()),
                random_index(random, self.unmatched_rules.len()),
            );
            match random_index(random, 3) {
                0 => self.unmatched_rules[at].changed = self.number,
                1 => {
                    self.unmatched_rules.remove(at);
                    self.unmatched_rules.insert(
                        to,
                        UnmatchedRule {
                            name: self.next_name,
                            changed: self.number,
                        },
                    );
                    self.next_name += 1;
                }
                _ => self.unmatched_rules.swap(at, to),
            }
        }
    }

    fn text(&self) -> String {
        let refusal_rule = |name: &str, tenant: u64, retry_after_ms: u64| {
            format!(
                "[[rule]]\nname = '{name}'\nwhen = 'request.partner.orValue(\"\") == \"{tenant:016x}\"'\n\
                 nack = 'duration(\"{retry_after_ms}ms\")'\n"
            )
        };
        let mut text = refusal_rule("always", REFUSED_BY_ALL, ALL_OFFSET_MS + self.number);
        if is_even_file(self.number) {
            text.push_str(&refusal_rule(
                "every-other",
                REFUSED_BY_EVEN,
                EVEN_OFFSET_MS + self.number,
            ));
        }
        self.unmatched_rules
            .iter()
            .for_each(|rule| text.push_str(&rule.text()));
        text
    }

    /// Returns the file as a writer that breaks off leaves it: cut within a string, so that it is
    /// always incomplete.
    fn truncated(&self, random: &mut Rand64) -> String {
        let text = self.text();
        let quotes: Vec<usize> = text
            .match_indices("when = '")
            .map(|(at, quote)| at + quote.len())
            .collect();
        text[..quotes[random_index(random, quotes.len())]].to_string()
    }

    /// Returns the file with one invalid rule, and with a number that no valid file has.
    fn invalid(&self, random: &mut Rand64) -> String {
        const INVALID_RULES: [&str; 3] = [
            "name = 'wrong'\nwhen = 'request.nothing'",
            "when = 'true'",
            "name = 'wrong'\npool = '\"nowhere\"'",
        ];
        let invalid = RuleFile {
            number: self.number + INVALID_FILE_OFFSET,
            unmatched_rules: self.unmatched_rules.clone(),
            next_name: self.next_name,
        };
        format!(
            "{}[[rule]]\n{}\n",
            invalid.text(),
            INVALID_RULES[random_index(random, INVALID_RULES.len())]
        )
    }
}

/// Returns whether the file of this number refuses the tenant [`REFUSED_BY_EVEN`].
fn is_even_file(number: u64) -> bool {
    number.is_multiple_of(2)
}

fn random_index(random: &mut Rand64, below: usize) -> usize {
    random.rand_range(0..below.max(1) as u64) as usize
}

/// Creates a random generator and prints its seed, which `DRIFTGAP_SEED` sets.
fn seeded_random(test: &str) -> Rand64 {
    let given = std::env::var("DRIFTGAP_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok());
    let seed = given.unwrap_or_else(|| u128::from(std::process::id()));
    println!("{test}: DRIFTGAP_SEED={seed}");
    Rand64::new(seed)
}

/// Returns the number of the file whose rule refused this request.
fn refused_by(sent: &SentRequest) -> Option<u64> {
    match sent.answer {
        Answer::Refused(ms) if sent.tenant == REFUSED_BY_ALL => ms.checked_sub(ALL_OFFSET_MS),
        Answer::Refused(ms) if sent.tenant == REFUSED_BY_EVEN => ms.checked_sub(EVEN_OFFSET_MS),
        _ => None,
    }
}

/// Starts clients of every tenant on both protocols.
fn start_clients(steady: &Rc<SequentialClients>) {
    for front in [Wire::Resp, Wire::Http2] {
        steady.client(front, REFUSED_BY_NONE, Class::Fetch);
        steady.client(front, REFUSED_BY_NONE, Class::Booking);
        steady.client(front, REFUSED_BY_EVEN, Class::Fetch);
        steady.client(front, REFUSED_BY_ALL, Class::Fetch);
    }
}

/// Runs a test within its time limit.
fn run_with_timeout(test: impl Future<Output = ()>) {
    run(async {
        tokio::time::timeout(TEST_TIMEOUT, test)
            .await
            .expect("the test exceeded its time limit")
    });
}

/// Checks that each request got the answer of some valid file, that no request with an effect ran
/// twice, and that no file came into force after a later one.
fn check_answers(sent: &[SentRequest], runs: &HashMap<String, usize>, valid_files: &BTreeSet<u64>) {
    let mut latest: HashMap<(bool, u64), u64> = HashMap::new();
    for request in sent {
        let run_count = runs.get(&request.id).copied().unwrap_or(0);
        assert!(
            run_count <= 1 || request.class == Class::Fetch,
            "ran {run_count} times: {request:?}"
        );
        match &request.answer {
            Answer::Served(value) => {
                assert_eq!(*value, request.id, "answer of another request");
                assert!(
                    run_count >= 1 && request.tenant != REFUSED_BY_ALL,
                    "{request:?}"
                );
            }
            Answer::Refused(_) => {
                let file = refused_by(request).filter(|file| valid_files.contains(file));
                let file = file
                    .unwrap_or_else(|| panic!("refused by no rule of a valid file: {request:?}"));
                assert!(
                    request.tenant == REFUSED_BY_ALL || is_even_file(file),
                    "{request:?}"
                );
                assert_eq!(run_count, 0, "{request:?}");
                let latest = latest
                    .entry((request.client_wire == Wire::Resp, request.tenant))
                    .or_default();
                assert!(*latest <= file, "file {file} after {latest}: {request:?}");
                *latest = file;
            }
            Answer::Nothing => assert!(request.killed, "lost: {request:?}"),
            Answer::Other(_) => panic!("{request:?}"),
        }
    }
}

/// SIGHUPs arrive faster than files are read, some files are truncated or invalid, and the process
/// is killed in between. No request may be lost, none with an effect may run twice, and the last
/// valid file must be in force in the end.
#[test]
fn repeated_reloads_lose_no_request_and_keep_last_valid_file() {
    const ROUNDS: usize = 300;
    const KILL_EVERY: usize = 100;
    const FINAL_RELOADS: usize = 5;
    run_with_timeout(async {
        let mut random = seeded_random("storm");
        let mut stage = Stage::set_up(Wire::Resp, Wire::Resp, "").await;
        stage.step("always echo").await;
        let mut file = RuleFile::new(UNMATCHED_RULES);
        file.edit(&mut random);
        let mut valid_files = BTreeSet::from([file.number]);
        stage.write_rules(&file.text());
        stage.reload_files().await;
        let steady = SequentialClients::new(&stage);
        start_clients(&steady);
        for round in 1..=ROUNDS {
            match random_index(&mut random, 10) {
                0 | 1 => stage.write_rules(&file.truncated(&mut random)),
                2 | 3 => stage.write_rules(&file.invalid(&mut random)),
                _ => {
                    file.edit(&mut random);
                    valid_files.insert(file.number);
                    stage.write_rules(&file.text());
                }
            }
            let before = stage.rule_reloads();
            stage.signal("-HUP");
            match random_index(&mut random, 4) {
                0 => drop(stage.wait_for_rule_reload(before).await),
                1 => steady.wait_for_results(random_index(&mut random, 20)).await,
                _ => {}
            }
            if round % KILL_EVERY == 0 {
                // This SIGHUP probably starts a reading that the kill interrupts.
                stage.write_rules(&file.text());
                stage.signal("-HUP");
                steady.restart(&mut stage).await;
            }
        }
        // The later of these SIGHUPs arrive during the reading of the first.
        for _ in 0..FINAL_RELOADS {
            file.edit(&mut random);
            valid_files.insert(file.number);
            stage.write_rules(&file.text());
            stage.signal("-HUP");
        }
        let last = file.number;
        steady
            .wait_until_any(|sent| sent.tenant == REFUSED_BY_ALL && refused_by(sent) == Some(last))
            .await;
        // The last valid file must be in force, not the truncated one after it. The reading of the
        // valid file may still be in progress.
        let kept = stage.rule_reloads().kept;
        stage.write_rules(&file.truncated(&mut random));
        stage.signal("-HUP");
        let mut now = stage.rule_reloads();
        while now.kept == kept {
            now = stage.wait_for_rule_reload(now).await;
        }
        let settled = steady.count();
        steady.wait_for_results(100).await;
        for sent in steady
            .results_since(settled)
            .iter()
            .filter(|sent| sent.tenant != REFUSED_BY_NONE)
        {
            let refused = sent.tenant == REFUSED_BY_ALL || is_even_file(file.number);
            assert_eq!(refused_by(sent), refused.then_some(last), "{sent:?}");
        }
        let sent = steady.stop().await;
        check_answers(&sent, &stage.attempts_by_request(), &valid_files);
        let rule_reloads = stage.rule_reloads();
        println!(
            "storm: {} commands, {} valid files, {rule_reloads:?}",
            sent.len(),
            valid_files.len()
        );
    });
}

/// Rules are reloaded hundreds of times. If old rules were kept, memory would grow until the
/// process is killed.
#[test]
fn memory_does_not_grow_over_hundreds_of_reloads() {
    const WARM_UP_RELOADS: usize = 20;
    const RELOADS: usize = 200;
    /// Allowance for allocator noise. One file of this size takes several MB.
    const GROWTH_MB: f64 = 4.0;
    run_with_timeout(async {
        let mut random = seeded_random("memory");
        let mut stage = Stage::set_up(Wire::Resp, Wire::Resp, "").await;
        stage.step("always echo").await;
        let mut file = RuleFile::new(UNMATCHED_RULES);
        let mut first_mb = 0.0;
        for reload in 1..=RELOADS {
            file.edit(&mut random);
            stage.write_rules(&file.text());
            stage.reload_files().await;
            if reload == WARM_UP_RELOADS {
                first_mb = stage.resident_mb();
            }
        }
        let (last_mb, max_mb) = (stage.resident_mb(), stage.max_resident_mb());
        println!(
            "memory: {first_mb:.1} MB after {WARM_UP_RELOADS}, {last_mb:.1} after {RELOADS}, {max_mb:.1} at most"
        );
        assert_eq!(stage.rule_reloads().replaced, RELOADS);
        assert!(
            last_mb - first_mb <= GROWTH_MB,
            "{first_mb} MB, then {last_mb}"
        );
    });
}

/// Reading a large file takes long. If the serving thread read it, every client would wait.
#[test]
fn requests_are_answered_while_a_large_file_is_read() {
    const LARGE_FILE_RULES: usize = 8_000;
    /// If the serving thread read the file, each client would get one or two answers, after the
    /// reading.
    const MIN_ANSWERS: usize = 20;
    /// The longest round trip must be shorter than the reading by this factor. If the serving
    /// thread did the reading or a large part of it, a round trip would take about as long.
    const MIN_READING_RATIO: u32 = 4;
    run_with_timeout(async {
        let mut stage = Stage::set_up(Wire::Resp, Wire::Resp, "").await;
        stage.step("always echo").await;
        let threads = stage.thread_count();
        assert_eq!(
            threads, 1,
            "there is a reading thread before the first reload"
        );
        let steady = SequentialClients::new(&stage);
        steady.client(Wire::Resp, REFUSED_BY_NONE, Class::Fetch);
        steady.client(Wire::Http2, REFUSED_BY_NONE, Class::Fetch);
        steady.wait_for_results(500).await;
        let calm = round_trips(&steady.results_since(0));
        for turn in 1..=2 {
            // Every rule differs from the previous file, so that none is taken over.
            let mut file = RuleFile::new(LARGE_FILE_RULES);
            file.unmatched_rules
                .iter_mut()
                .for_each(|rule| rule.changed = turn);
            stage.write_rules(&file.text());
            let (begun, before) = (std::time::Instant::now(), steady.count());
            stage.reload_files().await;
            let (took, during) = (begun.elapsed(), steady.results_since(before));
            println!(
                "reading {LARGE_FILE_RULES} rules: {took:?}, {} commands, {}",
                during.len(),
                round_trips(&during)
            );
            assert!(
                during.len() >= MIN_ANSWERS,
                "{} answers in {took:?}",
                during.len()
            );
            let longest = during
                .iter()
                .map(|sent| sent.took)
                .max()
                .unwrap_or_default();
            assert!(
                longest * MIN_READING_RATIO < took,
                "an answer after {longest:?} in {took:?}"
            );
        }
        println!("before the reload: {calm}");
        stage.wait_until_single_threaded().await;
        let sent = steady.stop().await;
        assert!(sent
            .iter()
            .all(|sent| sent.answer == Answer::Served(sent.id.clone())));
    });
}

/// Formats the median, the 99th percentile and the maximum of the round-trip times.
fn round_trips(sent: &[SentRequest]) -> String {
    let mut took: Vec<Duration> = sent.iter().map(|sent| sent.took).collect();
    took.sort();
    let percentile = |share: f64| took[((took.len() - 1) as f64 * share) as usize];
    format!(
        "round trips {:?}, p99 {:?}, longest {:?}",
        percentile(0.5),
        percentile(0.99),
        percentile(1.0)
    )
}

/// SIGHUP arrives during a shutdown with requests in flight. The rules must be reloaded, and the
/// shutdown must still end in time.
#[test]
fn rules_are_reloaded_during_a_shutdown() {
    run_with_timeout(async {
        let mut stage = Stage::set_up(Wire::Resp, Wire::Resp, "").await;
        for line in ["send c k1 book-rebroadcast city 7", "expect * k1", "stop"] {
            stage.step(line).await;
        }
        let before = stage.rule_reloads();
        stage.write_rules(&RuleFile::new(1).text());
        stage.signal("-HUP");
        let after = stage.wait_for_rule_reload(before).await;
        assert_eq!(
            (after.replaced, after.kept),
            (before.replaced + 1, before.kept)
        );
        for line in [
            "answer * k1 value booked",
            "expect c k1 served booked",
            "expect exit",
        ] {
            stage.step(line).await;
        }
    });
}
