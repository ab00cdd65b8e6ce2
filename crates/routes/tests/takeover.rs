//! Reuse of unchanged rules: after any edits the rules decide like those of the same text read from
//! scratch, and limits keep their state.

mod common;

use common::{catalog, read_with_previous, request, route, routes, POOLS};
use driftgap_routes::{
    LimitPermit, ReadOptions, ReadReport, Replaced, Request, Router, Rules, Verdict,
};
use oorandom::Rand32;
use std::ops::Range;

/// Number of edits of one random history.
const EDITS: usize = 60;
/// Seeds of the random histories; `DRIFTGAP_SEEDS` sets others, such as `100-200`.
const SEEDS: Range<u64> = 0..8;

fn seeds() -> Range<u64> {
    let Ok(named) = std::env::var("DRIFTGAP_SEEDS") else {
        return SEEDS;
    };
    let (first, last) = named.split_once('-').expect("FIRST-LAST");
    first.parse().expect("a number")..last.parse().expect("a number")
}

fn below(random: &mut Rand32, max: usize) -> usize {
    random.rand_range(0..max as u32) as usize
}

/// Returns a rule of a random kind; `version` changes its action.
fn rule(random: &mut Rand32, name: usize, version: u32) -> String {
    let path = below(random, 12);
    let get = "request.method == \"GET\"";
    match below(random, 8) {
        0 => format!("[[rule]]\nname = 'n{name}'\nwhen = '{get} && request.path.startsWith(\"/p{path}/\")'\npool = '\"dar\"'\n"),
        1 => format!("[[rule]]\nname = 'n{name}'\nwhen = 'request.path == \"/p{path}/x\"'\npool = '\"tanga\"'\ngo_on = true\n"),
        2 => format!("# Notes.\n[[rule]]\nname = 'n{name}'\nwhen = '''\n  request.path.contains(\"{path}\") &&\n  !has(request.id)\n'''\ngo_on = true\nnotes = {{ v = '\"{version}\"', w = 'request.path' }}\n\n"),
        3 => format!("[[rule]]\nname = 'n{name}'\nwhen = 'request.path.startsWith(\"/p{path}/y\")'\nnack = 'duration(\"{}ms\")'\n", version + 1),
        4 => format!("  [[ rule ]] # spaced\nname = \"n{name}\"\nwhen = '{get} && request.path == \"/e/{path}\"'\nclass = '\"fetch-episode\"'\nplan = '\"city\"'\npartner = '\"p\"'\nunits = 'request.units.orValue(1.0)'\nid = '\"e{version}\"'\n"),
        5 => format!("[[rule]]\nname = 'n{name}'\nwhen = 'request.path.startsWith(\"/p{path}\")'\ngo_on = true\n[rule.limit]\nkey = 'request.partner.orValue(\"\")'\nrate = {}\nburst = 2\n", version + 1),
        6 => format!("[['rule']]\nname = 'n{name}'\nwhen = 'request.path.endsWith(\"{path}\")'\ngo_on = true\nlimit = {{ key = '\"all\"', at_once = {}, keys = 8 }}\n", version + 1),
        _ => format!("[[rule]]\r\nname = 'n{name}'\r\nwhen = 'request.path in [\"/p{path}/x\", \"/e/{version}\"]'\r\ngo_on = true\r\n[rule.notes]\r\nmark = '\"[[rule]]\"'\r\n"),
    }
}

/// A header without its closing bracket.
const UNCLOSED_HEADER: &str = "[rule\n";

/// Returns a rule with a random mistake.
fn broken(random: &mut Rand32, name: usize) -> String {
    let wrong = [
        "pool = '\"dodoma\"'",
        "pool = '\"dar'",
        "when = 'request.path.startsWth(\"/a\")'",
        "when = 'false'",
        "poool = '\"dar\"'",
        "limit = { key = 'request.partner', rate = -1 }",
        "name = 'again'",
        "pool = [",
        "pool = '''\"dar\"",
        "pool = \"\\q\"",
        "= 1",
        "[rule.pool]\nx = 1\n[rule.pool]",
        UNCLOSED_HEADER,
        "nack = 1 ]",
    ];
    let wrong = wrong[below(random, wrong.len())];
    format!("[[rule]]\nname = 'b{name}'\n{wrong}\n")
}

/// A file under random edits.
struct File {
    head: String,
    tail: String,
    rules: Vec<String>,
    names: usize,
}

impl File {
    fn new(random: &mut Rand32) -> File {
        let mut file = File {
            head: POOLS.to_string(),
            tail: String::new(),
            rules: Vec::new(),
            names: 0,
        };
        for _ in 0..20 {
            file.insert(random);
        }
        file
    }

    fn text(&self) -> String {
        // The tail is placed between the rules.
        let (first, second) = self.rules.split_at(self.rules.len() / 2);
        [
            &self.head[..],
            &first.concat(),
            &self.tail,
            &second.concat(),
        ]
        .concat()
    }

    fn insert(&mut self, random: &mut Rand32) {
        let at = below(random, self.rules.len() + 1);
        self.names += 1;
        let rule = rule(random, self.names, 0);
        self.rules.insert(at, rule);
    }

    fn edit(&mut self, random: &mut Rand32) {
        let at = below(random, self.rules.len().max(1));
        match below(random, 10) {
            0..=2 => self.insert(random),
            3 if self.rules.len() > 5 => drop(self.rules.remove(at)),
            4 | 5 if at < self.rules.len() => {
                self.names += 1;
                let version = random.rand_range(0..3);
                self.rules[at] = rule(random, self.names, version);
            }
            6 if at < self.rules.len() => {
                let other = below(random, self.rules.len());
                self.rules.swap(at, other);
            }
            7 => self
                .rules
                .insert(at.min(self.rules.len()), broken(random, self.names)),
            8 => {
                let tails = [
                    "",
                    "[effects.paths]\n'/book/' = 'side_effect'\n",
                    "[cost]\nexpression = 9000\n",
                    "x = 1\n",
                ];
                self.tail = tails[below(random, tails.len())].to_string();
            }
            9 if !self.rules.is_empty() => {
                // Duplicates a rule.
                let rule = self.rules[at].clone();
                self.rules.push(rule);
            }
            _ => {}
        }
    }

    /// Removes all mistakes.
    fn repair(&mut self) {
        self.rules.retain(|rule| !rule.contains("name = 'b"));
        let mut seen = std::collections::HashSet::new();
        self.rules.retain(|rule| seen.insert(rule.clone()));
        self.tail.clear();
    }
}

fn random_request(random: &mut Rand32) -> (String, bool) {
    let part = below(random, 12);
    let path = match below(random, 4) {
        0 => format!("/p{part}/x"),
        1 => format!("/p{part}/y/z"),
        2 => format!("/e/{part}"),
        _ => format!("/{part}"),
    };
    (path, below(random, 2) == 0)
}

fn describe(verdict: Verdict) -> String {
    match verdict {
        Verdict::Forward(route) => {
            format!(
                "{:?} {:x} {:?} {}",
                route.command,
                route.pools,
                route.notes,
                route.permits.len()
            )
        }
        refused => format!("{refused:?}"),
    }
}

/// Asserts that two sets of rules decide alike about random requests. At `now`, in ms, the buckets
/// of all limits are full.
fn assert_same_decisions(random: &mut Rand32, reused: &Rules, fresh: &Rules, now: f64) {
    let (mut reused, mut fresh) = (Router::new(reused.clone()), Router::new(fresh.clone()));
    for router in [&mut reused, &mut fresh] {
        router.count_ready([u64::MAX].into_iter());
    }
    for _ in 0..40 {
        let (path, get) = random_request(random);
        let request = Request {
            method: if get { "GET" } else { "POST" },
            ..request(&path)
        };
        assert_eq!(
            describe(reused.route(&request, now)),
            describe(fresh.route(&request, now)),
            "{path}"
        );
    }
}

/// An operator edits a file repeatedly, sometimes with mistakes. A rule that was reused wrongly
/// would decide like an earlier version of it, so the rules are compared with those of the same
/// text read from scratch.
#[test]
fn reused_rules_decide_like_freshly_read_ones() {
    for seed in seeds() {
        println!("seed {seed}");
        let random = &mut Rand32::new(seed);
        let mut file = File::new(random);
        let mut in_force =
            read_with_previous(&file.text(), None).unwrap_or_else(|faults| panic!("{faults:?}"));
        let (mut right, mut wrong, mut taken_over) = (0, 0, 0);
        for step in 0..EDITS {
            for _ in 0..1 + below(random, 3) {
                file.edit(random);
            }
            if below(random, 3) == 0 {
                file.repair();
            }
            let text = file.text();
            match (
                read_with_previous(&text, Some(&in_force)),
                read_with_previous(&text, None),
            ) {
                (Ok(reused), Ok(fresh)) => {
                    assert_same_decisions(random, &reused, &fresh, 1e7 * (step + 1) as f64);
                    let figures = |rules: &Rules| (rules.len(), rules.cost(), rules.unindexed());
                    assert_eq!(figures(&reused), figures(&fresh));
                    let report = reused.report();
                    assert_eq!(report.taken_over + report.compiled, reused.len());
                    assert_eq!(
                        fresh.report(),
                        ReadReport {
                            taken_over: 0,
                            compiled: fresh.len()
                        }
                    );
                    taken_over += report.taken_over;
                    (in_force, right) = (reused, right + 1);
                }
                (Err(reused), Err(fresh)) => {
                    assert_eq!(reused, fresh, "{text}");
                    wrong += 1;
                }
                (reused, fresh) => panic!("{reused:?} {fresh:?}\n{text}"),
            }
        }
        println!("{right} right, {wrong} wrong, {taken_over} rules taken over");
        assert!(
            right > 5 && wrong > 5 && taken_over > 50,
            "{right} {wrong} {taken_over}"
        );
    }
}

/// Maximum number of faults that are reported for one file.
const MAX_FAULTS: usize = 100;

/// Returns the line of the file that a fault names.
fn line_of(fault: &str) -> usize {
    fault
        .split(':')
        .nth(1)
        .and_then(|line| line.parse().ok())
        .expect("FILE:LINE:COLUMN")
}

/// Returns the same file with an escape in a key, which cannot be split into rules and is parsed in
/// one piece. The key keeps its length.
fn unsplittable(text: &str) -> String {
    text.replacen("[[pool]]", "[[\"p\\u006fol\"]]", 1)
}

/// A file is split into rules before it is parsed. Its faults and their lines must be the same as
/// if it were parsed in one piece.
#[test]
fn faults_equal_those_of_file_parsed_in_one_piece() {
    let mut faulty = 0;
    for seed in seeds() {
        println!("seed {seed}");
        let random = &mut Rand32::new(seed);
        let mut file = File::new(random);
        for _ in 0..EDITS {
            file.edit(random);
            if below(random, 4) == 0 {
                file.repair();
            }
            let text = file.text();
            let (split, unsplit) = (
                read_with_previous(&text, None),
                read_with_previous(&unsplittable(&text), None),
            );
            match (split, unsplit) {
                (Ok(split), Ok(unsplit)) => assert_eq!(split.len(), unsplit.len()),
                (Err(split), Err(unsplit)) => {
                    faulty += 1;
                    if text.contains(UNCLOSED_HEADER) {
                        // After a malformed header the parser assigns keys to the previous table,
                        // so that in one piece it reports more duplicate keys. All other faults are
                        // the same, up to the maximum number of reported faults.
                        assert_eq!(split[0], unsplit[0]);
                        let reached = if unsplit.len() < MAX_FAULTS {
                            usize::MAX
                        } else {
                            line_of(&unsplit[MAX_FAULTS - 1])
                        };
                        let mut reached = split.iter().filter(|fault| line_of(fault) < reached);
                        assert!(
                            reached.all(|fault| unsplit.contains(fault)),
                            "{split:#?} {unsplit:#?}\n{text}"
                        );
                    } else {
                        assert_eq!(split, unsplit, "{text}");
                    }
                }
                (split, unsplit) => panic!("{split:?} {unsplit:?}\n{text}"),
            }
        }
    }
    assert!(faulty > 5 * seeds().count(), "{faulty}");
}

/// Replaces the rules of a router by those of a file, reusing unchanged ones.
fn replace(router: &mut Router, text: &str, now: f64) -> ReadReport {
    let rules = read_with_previous(text, Some(router.rules()))
        .unwrap_or_else(|faults| panic!("{faults:?}"));
    let report = rules.report();
    drop(
        router
            .replace(rules, now, 3000.0)
            .expect("enough free pool bits"),
    );
    report
}

/// Changes a text at some random positions, mostly with tokens that have a meaning in TOML.
fn corrupt(random: &mut Rand32, text: &str) -> String {
    const MARKS: [&str; 17] = [
        "[",
        "]",
        "[[",
        "]]",
        "{",
        "}",
        "'",
        "\"",
        "'''",
        "\"\"\"",
        "\n",
        "\r",
        "=",
        "#",
        ".",
        "\\",
        "[[rule]]\n",
    ];
    let mut chars: Vec<char> = text.chars().collect();
    for _ in 0..1 + below(random, 3) {
        let at = below(random, chars.len());
        let mark: Vec<char> = MARKS[below(random, MARKS.len())].chars().collect();
        match below(random, 4) {
            0 => drop(chars.remove(at)),
            1 => drop(chars.splice(at..at, mark)),
            2 => drop(chars.splice(at..at + 1, mark)),
            _ => {
                let to = (at + 1 + below(random, 200)).min(chars.len());
                drop(chars.drain(at..to));
            }
        }
    }
    chars.into_iter().collect()
}

/// A file is read while it is being written, or is corrupted at any character. It must be refused
/// exactly when the TOML parser refuses it in one piece, and never read differently.
#[test]
fn corrupt_file_is_refused_exactly_when_parser_refuses_it() {
    for seed in seeds() {
        println!("seed {seed}");
        let random = &mut Rand32::new(seed);
        let (mut right, mut wrong) = (0, 0);
        let mut file = File::new(random);
        for _ in 0..EDITS {
            file.edit(random);
            file.repair();
            let sound = file.text();
            let in_force = read_with_previous(&sound, None)
                .unwrap_or_else(|faults| panic!("{faults:?}\n{sound}"));
            let text = corrupt(random, &sound);
            let (split, unsplit) = (
                read_with_previous(&text, None),
                read_with_previous(&unsplittable(&text), None),
            );
            assert_eq!(
                split.is_ok(),
                unsplit.is_ok(),
                "{split:?} {unsplit:?}\n{text}"
            );
            match (read_with_previous(&text, Some(&in_force)), split) {
                (Ok(reused), Ok(fresh)) => {
                    right += 1;
                    assert_eq!(fresh.len(), unsplit.unwrap().len());
                    assert_same_decisions(random, &reused, &fresh, 1e7);
                }
                (Err(reused), Err(fresh)) => {
                    wrong += 1;
                    assert_eq!(reused, fresh, "{text}");
                }
                (reused, fresh) => panic!("{reused:?} {fresh:?}\n{text}"),
            }
        }
        println!("{right} right, {wrong} wrong");
        assert!(wrong > EDITS / 2, "{right} {wrong}");
    }
}

#[test]
fn rules_of_a_table_are_reused() {
    let text = "listen = \"127.0.0.1:1\"\n[routes.cost]\nrequest = 5000\n\
                [[routes.rule]]\nname = 'a'\npool = '\"any\"'\n[routes.rule.notes]\nn = '\"1\"'\n\
                [other]\nrule = 1\n[[other.list]]\n[[\"routes\".'rule']]\nname = 'b'\n";
    let read = |text: &str, previous| {
        let options = ReadOptions {
            previous,
            ..ReadOptions::default()
        };
        let read = Rules::read_table(text, "operator.toml", Some("routes"), &catalog(), &options);
        read.map_err(|faults| faults[0].line.clone())
    };
    let first = read(text, None).unwrap();
    assert_eq!((first.len(), first.report().compiled), (2, 2));
    let moved = read(
        &text.replace("listen", "# Another line.\nlisten"),
        Some(&first),
    )
    .unwrap();
    assert_eq!((moved.report().taken_over, moved.report().compiled), (2, 0));
    let wrong = read(&text.replace("name = 'b'", "nam = 'b'"), Some(&first)).unwrap_err();
    assert!(
        wrong.starts_with("operator.toml:13:1: `nam` is not known here"),
        "{wrong}"
    );
    assert_eq!(read("listen = 1\n", Some(&first)).unwrap().len(), 0);
    let wrong = read("routes = 1\n", None).unwrap_err();
    assert!(
        wrong.starts_with("operator.toml:1:10: this is a TOML integer"),
        "{wrong}"
    );
    // An array of tables has no rules of its own.
    assert!(read("[[routes]]\n[[routes.rule]]\nname = 'a'\n", None).is_err());
}

/// One of many rules is edited. Only that rule may be parsed and compiled again.
#[test]
fn only_changed_rules_are_compiled() {
    const RULES: usize = 300;
    let text = routes(RULES);
    let mut router = Router::new(read_with_previous(&text, None).unwrap());
    let report = |taken_over, compiled| ReadReport {
        taken_over,
        compiled,
    };
    assert_eq!(router.rules().report(), report(0, RULES));
    assert_eq!(replace(&mut router, &text, 0.0), report(RULES, 0));
    let one = text.replace("/programmes/7/", "/programmes/seven/");
    assert_eq!(replace(&mut router, &one, 0.0), report(RULES - 1, 1));
    let appended = format!("{one}\n\n{}", route(RULES));
    assert_eq!(replace(&mut router, &appended, 0.0), report(RULES, 1));
    // A rule does not depend on its position. The rule that was edited has its first text again.
    let reversed: String = (0..RULES).rev().map(route).collect();
    assert_eq!(
        replace(&mut router, &format!("{POOLS}{reversed}"), 0.0),
        report(RULES - 1, 1)
    );
    // Rules do not depend on the tests of pools.
    let pools = text.replace("instance.zone ==", "instance.name ==");
    assert_eq!(replace(&mut router, &pools, 0.0), report(RULES, 0));
    // All rules depend on the names of the pools, the effects, and the cost limit of an expression.
    for head in [
        "[[pool]]\nname = 'mbeya'\nwhen = 'true'\n",
        "[effects.paths]\n'/bookings/' = 'side_effect'\n",
        "[cost]\nexpression = 5000\n",
    ] {
        assert_eq!(
            replace(&mut router, &format!("{head}{text}"), 0.0),
            report(0, RULES),
            "{head}"
        );
        assert_eq!(replace(&mut router, &text, 0.0), report(0, RULES));
    }
    // Rules do not depend on the cost limit of a request.
    assert_eq!(
        replace(
            &mut router,
            &format!("[cost]\nrequest = 100000\n{text}"),
            0.0
        ),
        report(RULES, 0)
    );
}

#[test]
fn inline_rules_are_reused_only_if_file_is_unchanged() {
    let text = "rule = [{ name = 'a', nack = 'duration(\"1s\")' }, { name = 'b' }]\n";
    let first = read_with_previous(text, None).unwrap();
    assert_eq!(
        first.report(),
        ReadReport {
            taken_over: 0,
            compiled: 2
        }
    );
    let same = read_with_previous(text, Some(&first)).unwrap();
    assert_eq!(
        same.report(),
        ReadReport {
            taken_over: 2,
            compiled: 0
        }
    );
    let other = read_with_previous(&text.replace("'b'", "'c'"), Some(&first)).unwrap();
    assert_eq!(
        other.report(),
        ReadReport {
            taken_over: 0,
            compiled: 2
        }
    );
}

/// A rule is copied without changing its name. The copy is unchanged text, so it is reused without
/// being parsed, and must be refused nevertheless.
#[test]
fn duplicate_rule_is_refused_at_its_second_occurrence() {
    let text = routes(3);
    let in_force = read_with_previous(&text, None).unwrap();
    let twice = format!("{text}{}", route(1));
    let line = 1 + text.lines().count();
    let want = format!(
        "rules.toml:{}:8: the rule name \"route-1\" is already in use",
        line + 1
    );
    assert_eq!(
        read_with_previous(&twice, Some(&in_force)).unwrap_err(),
        [want]
    );
}

/// The rules of a file are split off, and the remaining text defines the same key differently. TOML
/// forbids that. Splitting must not hide it, or a file would be in force that other tools refuse.
#[test]
fn file_with_conflicting_rule_key_is_refused() {
    let section = "[[rule]]\nname = 'a'\n";
    let in_force = read_with_previous(section, None).unwrap();
    let wrong = [
        "rule = 1\n",
        "rule = []\n",
        "rule.x = 1\n",
        "[rule]\nname = 'b'\n",
        "[rule.limit]\nkey = '\"k\"'\n",
        "[[\"rul\\u0065\"]]\nname = 'a'\n",
    ];
    for head in wrong {
        for text in [
            format!("{head}{section}"),
            format!("{section}[cost]\n{head}"),
        ] {
            assert!(
                read_with_previous(&text, Some(&in_force)).is_err(),
                "{text}"
            );
        }
    }
    // A sub-table that is separated from its rule still belongs to it.
    let apart = format!("{section}[cost]\nrequest = 1000\n[rule.notes]\nn = '\"1\"'\n");
    let mut router = Router::new(read_with_previous(&apart, Some(&in_force)).unwrap());
    let Verdict::Forward(route) = router.route(&request("/"), 0.0) else {
        panic!("the request was rejected")
    };
    assert_eq!(route.notes, [("n".to_string(), "1".to_string())]);
}

/// A limit of one request per tenant in 1,000 s.
const LIMIT: &str = "[[rule]]\nname = 'limit'\ngo_on = true\n\
                     limit = { key = 'request.partner.orValue(\"\")', rate = 0.001, burst = 1, keys = 64 }\n";
/// A limit of one concurrent request.
const AT_ONCE: &str =
    "[[rule]]\nname = 'at-once'\nwhen = 'request.path == \"/once\"'\ngo_on = true\n\
                       limit = { key = '\"all\"', at_once = 1 }\n";

/// Clients are limited while an operator edits other rules. If a reload reset the limit, each
/// reload would admit a burst.
#[test]
fn limits_keep_state_across_edits_of_other_rules() {
    for seed in seeds() {
        println!("seed {seed}");
        let random = &mut Rand32::new(seed);
        let mut file = File::new(random);
        file.rules
            .retain(|rule| !rule.contains("limit") && !rule.contains("nack"));
        let with = |file: &File, limit: &str| {
            format!("{POOLS}{AT_ONCE}{}{limit}", file.text().replace(POOLS, ""))
        };
        let mut router = Router::new(read_with_previous(&with(&file, LIMIT), None).unwrap());
        router.count_ready([u64::MAX].into_iter());
        let other = Request {
            partner: Some("other"),
            ..request("/once")
        };
        let Verdict::Forward(in_flight) = router.route(&other, 0.0) else {
            panic!("the first request was rejected")
        };
        assert_eq!(in_flight.permits.len(), 1);
        assert!(matches!(
            router.route(&request("/none"), 0.0),
            Verdict::Forward(_)
        ));
        for _ in 0..20 {
            file.edit(random);
            file.rules
                .retain(|rule| !rule.contains("limit") && !rule.contains("nack"));
            file.repair();
            // The limit's own rule is sometimes compiled again, because of a comment in it or other
            // effects.
            let comment = if below(random, 3) == 0 {
                "# again\n"
            } else {
                ""
            };
            if below(random, 4) == 0 {
                file.tail = format!("[effects.paths]\n'/{}/' = 'token'\n", below(random, 9));
            }
            replace(&mut router, &with(&file, &format!("{LIMIT}{comment}")), 1.0);
            router.count_ready([u64::MAX].into_iter());
            let refused = router.route(&request("/none"), 1.0);
            assert!(
                matches!(&refused, Verdict::Reject { by, .. } if by == "limit"),
                "{refused:?}"
            );
            let refused = router.route(&request("/once"), 1.0);
            assert!(
                matches!(&refused, Verdict::Reject { by, .. } if by == "at-once"),
                "{refused:?}"
            );
        }
        drop(in_flight);
        // A limit with another rate starts with a full bucket.
        let faster = LIMIT.replace("rate = 0.001", "rate = 0.002");
        replace(&mut router, &with(&file, &faster), 1.0);
        router.count_ready([u64::MAX].into_iter());
        assert!(matches!(
            router.route(&request("/once"), 1.0),
            Verdict::Forward(_)
        ));
    }
}

/// Reading and dropping rules takes long. If they could run only on the serving thread, every
/// reload would delay requests.
#[test]
fn rules_can_be_read_and_dropped_on_other_threads() {
    fn assert_send<T: Send>() {}
    fn assert_shareable<T: Send + Sync + Clone>() {}
    assert_shareable::<Rules>();
    assert_send::<Replaced>();
    assert_send::<LimitPermit>();
}
