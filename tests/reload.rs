//! Rules that are read again while requests come: the real program, thousands of rules, and files that are changed,
//! torn and wrong.

mod stage;

use oorandom::Rand64;
use stage::steady::{Class, Notified, Sent, Steady};
use stage::{run, Stage, Wire};
use std::collections::{BTreeSet, HashMap};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

/// Rules of a file, beside those that tell the files apart.
const RULES: usize = 2_000;
/// The tenant whose requests no rule refuses, the one whose every other file does, and the one whose every file does.
const FREE: u64 = 7;
const EVERY_OTHER: u64 = 8;
const ALWAYS: u64 = 9;
/// What a refusal of a file's rules adds to the file's number, ms: further than the module ever sends a client away.
const EVERY_OTHER_MS: u64 = 100_000;
const ALWAYS_MS: u64 = 200_000;
/// Further than the number of any good file.
const NO_FILE: u64 = 50_000;
/// Longest that a test of these waits for anything.
const LONGEST: Duration = Duration::from_secs(120);

/// A rule that matches nothing that is sent here: its name, and the file that changed it last.
#[derive(Clone, Copy)]
struct Other {
    name: usize,
    changed: u64,
}

impl Other {
    fn text(self) -> String {
        let Other { name, changed } = self;
        format!(
            "[[rule]]\nname = 'r{name}'\nwhen = 'request.path.startsWith(\"/r{name}/{changed}/\")'\n\
             notes = {{ changed = '\"{changed}\"' }}\n"
        )
    }
}

/// A file of rules by its number, which is told by the refusals of its rules.
struct File {
    number: u64,
    others: Vec<Other>,
    /// The name of the next new rule.
    next: usize,
}

impl File {
    fn new(rules: usize) -> File {
        let others = (0..rules).map(|name| Other { name, changed: 0 }).collect();
        File {
            number: 0,
            others,
            next: rules,
        }
    }

    /// The next file: some rules are changed, some replaced by new ones, some in other places.
    fn edit(&mut self, random: &mut Rand64) {
        self.number += 1;
        for _ in 0..1 + pick(random, 20) {
            let (at, to) = (
                pick(random, self.others.len()),
                pick(random, self.others.len()),
            );
            match pick(random, 3) {
                0 => self.others[at].changed = self.number,
                1 => {
                    self.others.remove(at);
                    self.others.insert(
                        to,
                        Other {
                            name: self.next,
                            changed: self.number,
                        },
                    );
                    self.next += 1;
                }
                _ => self.others.swap(at, to),
            }
        }
    }

    fn text(&self) -> String {
        let refuses = |name: &str, tenant: u64, retry_after_ms: u64| {
            format!(
                "[[rule]]\nname = '{name}'\nwhen = 'request.partner.orValue(\"\") == \"{tenant:016x}\"'\n\
                 nack = 'duration(\"{retry_after_ms}ms\")'\n"
            )
        };
        let mut text = refuses("always", ALWAYS, ALWAYS_MS + self.number);
        if refuses_every_other(self.number) {
            text.push_str(&refuses(
                "every-other",
                EVERY_OTHER,
                EVERY_OTHER_MS + self.number,
            ));
        }
        self.others
            .iter()
            .for_each(|other| text.push_str(&other.text()));
        text
    }

    /// The file as it is while something writes it that breaks off: within a text, so that it is never whole.
    fn torn(&self, random: &mut Rand64) -> String {
        let text = self.text();
        let quotes: Vec<usize> = text
            .match_indices("when = '")
            .map(|(at, quote)| at + quote.len())
            .collect();
        text[..quotes[pick(random, quotes.len())]].to_string()
    }

    /// The file with one rule that makes no sense, and a number that no good file has.
    fn wrong(&self, random: &mut Rand64) -> String {
        const WRONG: [&str; 3] = [
            "name = 'wrong'\nwhen = 'request.nothing'",
            "when = 'true'",
            "name = 'wrong'\npool = '\"nowhere\"'",
        ];
        let wrong = File {
            number: self.number + NO_FILE,
            others: self.others.clone(),
            next: self.next,
        };
        format!(
            "{}[[rule]]\n{}\n",
            wrong.text(),
            WRONG[pick(random, WRONG.len())]
        )
    }
}

/// Whether the file of this number has the rule for every other file.
fn refuses_every_other(number: u64) -> bool {
    number.is_multiple_of(2)
}

fn pick(random: &mut Rand64, below: usize) -> usize {
    random.rand_range(0..below.max(1) as u64) as usize
}

/// A generator whose seed is printed; `DRIFTGAP_SEED` sets it.
fn random(test: &str) -> Rand64 {
    let given = std::env::var("DRIFTGAP_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok());
    let seed = given.unwrap_or_else(|| u128::from(std::process::id()));
    println!("{test}: DRIFTGAP_SEED={seed}");
    Rand64::new(seed)
}

/// The number of the file whose rule has refused this.
fn refused_by(sent: &Sent) -> Option<u64> {
    match sent.notified {
        Notified::Refused(ms) if sent.tenant == ALWAYS => ms.checked_sub(ALWAYS_MS),
        Notified::Refused(ms) if sent.tenant == EVERY_OTHER => ms.checked_sub(EVERY_OTHER_MS),
        _ => None,
    }
}

/// Clients of every tenant on both wires.
fn clients(steady: &Rc<Steady>) {
    for front in [Wire::Resp, Wire::Http2] {
        steady.client(front, FREE, Class::Fetch);
        steady.client(front, FREE, Class::Booking);
        steady.client(front, EVERY_OTHER, Class::Fetch);
        steady.client(front, ALWAYS, Class::Fetch);
    }
}

/// Runs a test that ends in time.
fn play(test: impl Future<Output = ()>) {
    run(async {
        tokio::time::timeout(LONGEST, test)
            .await
            .expect("the test does not come to its end")
    });
}

/// Each request has the answer that some good file gives it, one at most of those with an effect has run, and no
/// file comes into force behind a later one.
fn judge(sent: &[Sent], runs: &HashMap<String, usize>, good: &BTreeSet<u64>) {
    let mut latest: HashMap<(bool, u64), u64> = HashMap::new();
    for request in sent {
        let ran = runs.get(&request.id).copied().unwrap_or(0);
        assert!(
            ran <= 1 || request.class == Class::Fetch,
            "ran {ran} times: {request:?}"
        );
        match &request.notified {
            Notified::Served(value) => {
                assert_eq!(*value, request.id, "another's answer");
                assert!(ran >= 1 && request.tenant != ALWAYS, "{request:?}");
            }
            Notified::Refused(_) => {
                let file = refused_by(request).filter(|file| good.contains(file));
                let file = file
                    .unwrap_or_else(|| panic!("refused by no rule of a good file: {request:?}"));
                assert!(
                    request.tenant == ALWAYS || refuses_every_other(file),
                    "{request:?}"
                );
                assert_eq!(ran, 0, "{request:?}");
                let latest = latest
                    .entry((request.front == Wire::Resp, request.tenant))
                    .or_default();
                assert!(*latest <= file, "file {file} behind {latest}: {request:?}");
                *latest = file;
            }
            Notified::Nothing => assert!(request.killed, "lost: {request:?}"),
            Notified::Other(_) => panic!("{request:?}"),
        }
    }
}

/// SIGHUPs come faster than files are read, some files are torn or wrong, and the process is killed in
/// between. No request is lost, none with an effect runs twice, and the last good file is in force in the
/// end.
#[test]
fn a_storm_of_reloads_loses_no_request_and_ends_with_the_last_good_file() {
    const ROUNDS: usize = 300;
    const KILL_EVERY: usize = 100;
    const LAST_AT_ONCE: usize = 5;
    play(async {
        let mut random = random("storm");
        let mut stage = Stage::set(Wire::Resp, Wire::Resp, "").await;
        stage.step("always echo").await;
        let mut file = File::new(RULES);
        file.edit(&mut random);
        let mut good = BTreeSet::from([file.number]);
        stage.put_rules(&file.text());
        stage.read_again().await;
        let steady = Steady::new(&stage);
        clients(&steady);
        for round in 1..=ROUNDS {
            match pick(&mut random, 10) {
                0 | 1 => stage.put_rules(&file.torn(&mut random)),
                2 | 3 => stage.put_rules(&file.wrong(&mut random)),
                _ => {
                    file.edit(&mut random);
                    good.insert(file.number);
                    stage.put_rules(&file.text());
                }
            }
            let before = stage.readings();
            stage.signal("-HUP");
            match pick(&mut random, 4) {
                0 => drop(stage.readings_after(before).await),
                1 => steady.further(pick(&mut random, 20)).await,
                _ => {}
            }
            if round % KILL_EVERY == 0 {
                // In the midst of a reading, as like as not.
                stage.put_rules(&file.text());
                stage.signal("-HUP");
                steady.restart(&mut stage).await;
            }
        }
        // The last of them come during a reading of the first.
        for _ in 0..LAST_AT_ONCE {
            file.edit(&mut random);
            good.insert(file.number);
            stage.put_rules(&file.text());
            stage.signal("-HUP");
        }
        let last = file.number;
        steady
            .until(|sent| sent.tenant == ALWAYS && refused_by(sent) == Some(last))
            .await;
        // The last good file it is, not the last one. A reading of the good one may still be under way.
        let kept = stage.readings().kept;
        stage.put_rules(&file.torn(&mut random));
        stage.signal("-HUP");
        let mut now = stage.readings();
        while now.kept == kept {
            now = stage.readings_after(now).await;
        }
        let settled = steady.count();
        steady.further(100).await;
        for sent in steady
            .since(settled)
            .iter()
            .filter(|sent| sent.tenant != FREE)
        {
            let refused = sent.tenant == ALWAYS || refuses_every_other(file.number);
            assert_eq!(refused_by(sent), refused.then_some(last), "{sent:?}");
        }
        let sent = steady.stop().await;
        judge(&sent, &stage.runs(), &good);
        let readings = stage.readings();
        println!(
            "storm: {} commands, {} good files, {readings:?}",
            sent.len(),
            good.len()
        );
    });
}

/// Rules are read again hundreds of times. If old ones were kept, a process would grow until it is killed for
/// memory.
#[test]
fn hundreds_of_reloads_leave_memory_as_it_is_after_the_first() {
    const FIRST: usize = 20;
    const RELOADS: usize = 200;
    /// What is left of it is noise of the allocator: a file of this size takes several MB.
    const GROWTH_MB: f64 = 4.0;
    play(async {
        let mut random = random("memory");
        let mut stage = Stage::set(Wire::Resp, Wire::Resp, "").await;
        stage.step("always echo").await;
        let mut file = File::new(RULES);
        let mut first_mb = 0.0;
        for reload in 1..=RELOADS {
            file.edit(&mut random);
            stage.put_rules(&file.text());
            stage.read_again().await;
            if reload == FIRST {
                first_mb = stage.resident();
            }
        }
        let (last_mb, max_mb) = (stage.resident(), stage.max_resident());
        println!(
            "memory: {first_mb:.1} MB after {FIRST}, {last_mb:.1} after {RELOADS}, {max_mb:.1} at most"
        );
        assert_eq!(stage.readings().replaced, RELOADS);
        assert!(
            last_mb - first_mb <= GROWTH_MB,
            "{first_mb} MB, then {last_mb}"
        );
    });
}

/// A large file takes long to read. Were it read on the serving thread, every client would wait for it.
#[test]
fn requests_are_answered_while_a_large_file_is_read() {
    const LARGE: usize = 8_000;
    /// With the reading on the serving thread each client would have an answer or two, behind it.
    const MIN_ANSWERS: usize = 20;
    /// And the longest round trip would last as long as the reading, or as its part on that thread.
    const LONGEST_PART: u32 = 4;
    play(async {
        let mut stage = Stage::set(Wire::Resp, Wire::Resp, "").await;
        stage.step("always echo").await;
        let threads = stage.threads();
        assert_eq!(threads, 1, "a thread without a reading");
        let steady = Steady::new(&stage);
        steady.client(Wire::Resp, FREE, Class::Fetch);
        steady.client(Wire::Http2, FREE, Class::Fetch);
        steady.further(500).await;
        let calm = round_trips(&steady.since(0));
        for turn in 1..=2 {
            // Every rule is another one: none can be taken over.
            let mut file = File::new(LARGE);
            file.others
                .iter_mut()
                .for_each(|other| other.changed = turn);
            stage.put_rules(&file.text());
            let (begun, before) = (std::time::Instant::now(), steady.count());
            stage.read_again().await;
            let (took, during) = (begun.elapsed(), steady.since(before));
            println!(
                "reading {LARGE} rules: {took:?}, {} commands, {}",
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
                longest * LONGEST_PART < took,
                "an answer after {longest:?} in {took:?}"
            );
        }
        println!("without a reading: {calm}");
        stage.calm().await;
        let sent = steady.stop().await;
        assert!(sent
            .iter()
            .all(|sent| sent.notified == Notified::Served(sent.id.clone())));
    });
}

/// Median, 99th percentile and longest.
fn round_trips(sent: &[Sent]) -> String {
    let mut took: Vec<Duration> = sent.iter().map(|sent| sent.took).collect();
    took.sort();
    let at = |share: f64| took[((took.len() - 1) as f64 * share) as usize];
    format!(
        "round trips {:?}, p99 {:?}, longest {:?}",
        at(0.5),
        at(0.99),
        at(1.0)
    )
}

/// SIGHUP comes during a shutdown with requests in flight. Rules are read, and the shutdown still ends in
/// time.
#[test]
fn rules_are_read_again_during_a_stop() {
    play(async {
        let mut stage = Stage::set(Wire::Resp, Wire::Resp, "").await;
        for line in ["send c k1 book-rebroadcast city 7", "expect * k1", "stop"] {
            stage.step(line).await;
        }
        let before = stage.readings();
        stage.put_rules(&File::new(1).text());
        stage.signal("-HUP");
        let after = stage.readings_after(before).await;
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
