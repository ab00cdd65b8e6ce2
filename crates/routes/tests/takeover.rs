//! What a file takes over from the rules in force: after any edits the rules decide as those of the same text
//! read anew, and limits keep their states.

mod common;

use common::{catalog, read_on, request, route, routes, POOLS};
use driftgap_routes::{
    LimitPermit, ReadOptions, ReadReport, Replaced, Request, Router, Rules, Verdict,
};
use oorandom::Rand32;
use std::ops::Range;

/// Edits of one random history.
const EDITS: usize = 60;
/// Seeds of random histories unless `DRIFTGAP_SEEDS` names others, as in `100-200`.
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

/// A rule of a random kind; `version` changes what it does.
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

/// A header that ends too early.
const TORN_HEADER: &str = "[rule\n";

/// Ways in which a rule may be wrong.
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
        TORN_HEADER,
        "nack = 1 ]",
    ];
    let wrong = wrong[below(random, wrong.len())];
    format!("[[rule]]\nname = 'b{name}'\n{wrong}\n")
}

/// A file that is edited.
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
        // A part of the head stands between the rules.
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
                // The same rule twice.
                let rule = self.rules[at].clone();
                self.rules.push(rule);
            }
            _ => {}
        }
    }

    /// Removes what is wrong.
    fn mend(&mut self) {
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

fn decided(verdict: Verdict) -> String {
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

/// Asserts that two routers decide alike about the same requests; all limits are full again at `now`, ms.
fn decide_alike(random: &mut Rand32, taken: &Rules, anew: &Rules, now: f64) {
    let (mut taken, mut anew) = (Router::new(taken.clone()), Router::new(anew.clone()));
    for router in [&mut taken, &mut anew] {
        router.count_ready([u64::MAX].into_iter());
    }
    for _ in 0..40 {
        let (path, get) = random_request(random);
        let request = Request {
            method: if get { "GET" } else { "POST" },
            ..request(&path)
        };
        assert_eq!(
            decided(taken.route(&request, now)),
            decided(anew.route(&request, now)),
            "{path}"
        );
    }
}

/// An operator edits a file again and again, with mistakes between. A rule that was taken over wrongly would decide as an
/// earlier version of it; so the rules in force are compared with those of the same text read by a new process.
#[test]
fn after_any_edits_rules_decide_as_those_of_the_same_text_read_anew() {
    for seed in seeds() {
        println!("seed {seed}");
        let random = &mut Rand32::new(seed);
        let mut file = File::new(random);
        let mut held = read_on(&file.text(), None).unwrap_or_else(|faults| panic!("{faults:?}"));
        let (mut right, mut wrong, mut taken_over) = (0, 0, 0);
        for step in 0..EDITS {
            for _ in 0..1 + below(random, 3) {
                file.edit(random);
            }
            if below(random, 3) == 0 {
                file.mend();
            }
            let text = file.text();
            match (read_on(&text, Some(&held)), read_on(&text, None)) {
                (Ok(taken), Ok(anew)) => {
                    decide_alike(random, &taken, &anew, 1e7 * (step + 1) as f64);
                    let figures = |rules: &Rules| (rules.len(), rules.cost(), rules.unindexed());
                    assert_eq!(figures(&taken), figures(&anew));
                    let report = taken.report();
                    assert_eq!(report.taken_over + report.compiled, taken.len());
                    assert_eq!(
                        anew.report(),
                        ReadReport {
                            taken_over: 0,
                            compiled: anew.len()
                        }
                    );
                    taken_over += report.taken_over;
                    (held, right) = (taken, right + 1);
                }
                (Err(taken), Err(anew)) => {
                    assert_eq!(taken, anew, "{text}");
                    wrong += 1;
                }
                (taken, anew) => panic!("{taken:?} {anew:?}\n{text}"),
            }
        }
        println!("{right} right, {wrong} wrong, {taken_over} rules taken over");
        assert!(
            right > 5 && wrong > 5 && taken_over > 50,
            "{right} {wrong} {taken_over}"
        );
    }
}

/// Most faults that are reported of one file.
const MAX_FAULTS: usize = 100;

/// The line of the file that a fault names.
fn line_of(fault: &str) -> usize {
    fault
        .split(':')
        .nth(1)
        .and_then(|line| line.parse().ok())
        .expect("FILE:LINE:COLUMN")
}

/// The same file in a spelling that is parsed in one piece: a key with an escape, as long as the plain one.
fn parsed_whole(text: &str) -> String {
    text.replacen("[[pool]]", "[[\"p\\u006fol\"]]", 1)
}

/// A file is cut into rules before it is parsed. A fault must be found, and named with its line, as if it had been parsed in
/// one piece.
#[test]
fn faults_are_those_of_the_file_parsed_in_one_piece() {
    let mut faulty = 0;
    for seed in seeds() {
        println!("seed {seed}");
        let random = &mut Rand32::new(seed);
        let mut file = File::new(random);
        for _ in 0..EDITS {
            file.edit(random);
            if below(random, 4) == 0 {
                file.mend();
            }
            let text = file.text();
            let (cut, whole) = (read_on(&text, None), read_on(&parsed_whole(&text), None));
            match (cut, whole) {
                (Ok(cut), Ok(whole)) => assert_eq!(cut.len(), whole.len()),
                (Err(cut), Err(whole)) => {
                    faulty += 1;
                    if text.contains(TORN_HEADER) {
                        // Behind a torn header the parser takes keys for those of the table before: in one
                        // piece it finds more of them twice. What is wrong itself is told alike, as far as
                        // the most faults that are told reach.
                        assert_eq!(cut[0], whole[0]);
                        let reached = if whole.len() < MAX_FAULTS {
                            usize::MAX
                        } else {
                            line_of(&whole[MAX_FAULTS - 1])
                        };
                        let mut reached = cut.iter().filter(|fault| line_of(fault) < reached);
                        assert!(
                            reached.all(|fault| whole.contains(fault)),
                            "{cut:#?} {whole:#?}\n{text}"
                        );
                    } else {
                        assert_eq!(cut, whole, "{text}");
                    }
                }
                (cut, whole) => panic!("{cut:?} {whole:?}\n{text}"),
            }
        }
    }
    assert!(faulty > 5 * seeds().count(), "{faulty}");
}

/// Puts what a file says in force, on top of the rules that are.
fn replace(router: &mut Router, text: &str, now: f64) -> ReadReport {
    let rules = read_on(text, Some(router.rules())).unwrap_or_else(|faults| panic!("{faults:?}"));
    let report = rules.report();
    drop(
        router
            .replace(rules, now, 3000.0)
            .expect("bits for the pools"),
    );
    report
}

/// Changes a file at some characters, mostly to what means something in TOML.
fn torn(random: &mut Rand32, text: &str) -> String {
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

/// A file is read while it is being written, or damaged at any character. It must be refused exactly where the TOML parser
/// refuses it in one piece: never read as something else.
#[test]
fn a_torn_file_is_refused_where_the_parser_refuses_it_in_one_piece() {
    for seed in seeds() {
        println!("seed {seed}");
        let random = &mut Rand32::new(seed);
        let (mut right, mut wrong) = (0, 0);
        let mut file = File::new(random);
        for _ in 0..EDITS {
            file.edit(random);
            file.mend();
            let sound = file.text();
            let held = read_on(&sound, None).unwrap_or_else(|faults| panic!("{faults:?}\n{sound}"));
            let text = torn(random, &sound);
            let (cut, whole) = (read_on(&text, None), read_on(&parsed_whole(&text), None));
            assert_eq!(cut.is_ok(), whole.is_ok(), "{cut:?} {whole:?}\n{text}");
            match (read_on(&text, Some(&held)), cut) {
                (Ok(taken), Ok(anew)) => {
                    right += 1;
                    assert_eq!(anew.len(), whole.unwrap().len());
                    decide_alike(random, &taken, &anew, 1e7);
                }
                (Err(taken), Err(anew)) => {
                    wrong += 1;
                    assert_eq!(taken, anew, "{text}");
                }
                (taken, anew) => panic!("{taken:?} {anew:?}\n{text}"),
            }
        }
        println!("{right} right, {wrong} wrong");
        assert!(wrong > EDITS / 2, "{right} {wrong}");
    }
}

#[test]
fn the_rules_of_a_table_among_others_are_taken_over_as_well() {
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
    // A list of tables has no rules of its own, wherever they seem to stand.
    assert!(read("[[routes]]\n[[routes.rule]]\nname = 'a'\n", None).is_err());
}

/// One rule of many is edited. Only that one may be parsed and compiled.
#[test]
fn a_change_costs_what_changed() {
    const RULES: usize = 300;
    let text = routes(RULES);
    let mut router = Router::new(read_on(&text, None).unwrap());
    let taken = |taken_over, compiled| ReadReport {
        taken_over,
        compiled,
    };
    assert_eq!(router.rules().report(), taken(0, RULES));
    assert_eq!(replace(&mut router, &text, 0.0), taken(RULES, 0));
    let one = text.replace("/programmes/7/", "/programmes/seven/");
    assert_eq!(replace(&mut router, &one, 0.0), taken(RULES - 1, 1));
    let appended = format!("{one}\n\n{}", route(RULES));
    assert_eq!(replace(&mut router, &appended, 0.0), taken(RULES, 1));
    // The order is none of a rule's own; the one that had changed is as before again.
    let reversed: String = (0..RULES).rev().map(route).collect();
    assert_eq!(
        replace(&mut router, &format!("{POOLS}{reversed}"), 0.0),
        taken(RULES - 1, 1)
    );
    // Another test of a pool changes no rule.
    let pools = text.replace("instance.zone ==", "instance.name ==");
    assert_eq!(replace(&mut router, &pools, 0.0), taken(RULES, 0));
    // What every rule is judged by: another pool, other effects, another ceiling of an expression.
    for head in [
        "[[pool]]\nname = 'mbeya'\nwhen = 'true'\n",
        "[effects.paths]\n'/bookings/' = 'side_effect'\n",
        "[cost]\nexpression = 5000\n",
    ] {
        assert_eq!(
            replace(&mut router, &format!("{head}{text}"), 0.0),
            taken(0, RULES),
            "{head}"
        );
        assert_eq!(replace(&mut router, &text, 0.0), taken(0, RULES));
    }
    // The ceiling of a request is none of a rule.
    assert_eq!(
        replace(
            &mut router,
            &format!("[cost]\nrequest = 100000\n{text}"),
            0.0
        ),
        taken(RULES, 0)
    );
}

#[test]
fn rules_in_one_piece_are_taken_over_with_the_whole_file_only() {
    let text = "rule = [{ name = 'a', nack = 'duration(\"1s\")' }, { name = 'b' }]\n";
    let first = read_on(text, None).unwrap();
    assert_eq!(
        first.report(),
        ReadReport {
            taken_over: 0,
            compiled: 2
        }
    );
    let same = read_on(text, Some(&first)).unwrap();
    assert_eq!(
        same.report(),
        ReadReport {
            taken_over: 2,
            compiled: 0
        }
    );
    let other = read_on(&text.replace("'b'", "'c'"), Some(&first)).unwrap();
    assert_eq!(
        other.report(),
        ReadReport {
            taken_over: 0,
            compiled: 2
        }
    );
}

/// A rule is copied and its name not changed. The copy is unchanged text, taken over without being parsed, and must be
/// refused all the same.
#[test]
fn a_rule_that_stands_twice_is_refused_where_it_stands_again() {
    let text = routes(3);
    let held = read_on(&text, None).unwrap();
    let twice = format!("{text}{}", route(1));
    let line = 1 + text.lines().count();
    let want = format!(
        "rules.toml:{}:8: the rule name \"route-1\" is already in use",
        line + 1
    );
    assert_eq!(read_on(&twice, Some(&held)).unwrap_err(), [want]);
}

/// The rules of a file are cut out of it, and the rest says something else about the same key. TOML forbids that; cutting
/// must not hide it, or a file would be in force that other tools refuse.
#[test]
fn a_file_whose_head_says_other_things_of_the_rules_is_refused() {
    let section = "[[rule]]\nname = 'a'\n";
    let held = read_on(section, None).unwrap();
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
            assert!(read_on(&text, Some(&held)).is_err(), "{text}");
        }
    }
    // A sub-table that stands apart from its rule is that rule's all the same.
    let apart = format!("{section}[cost]\nrequest = 1000\n[rule.notes]\nn = '\"1\"'\n");
    let mut router = Router::new(read_on(&apart, Some(&held)).unwrap());
    let Verdict::Forward(route) = router.route(&request("/"), 0.0) else {
        panic!("refused")
    };
    assert_eq!(route.notes, [("n".to_string(), "1".to_string())]);
}

/// A limit that admits one request of a tenant in 1,000 s.
const LIMIT: &str = "[[rule]]\nname = 'limit'\ngo_on = true\n\
                     limit = { key = 'request.partner.orValue(\"\")', rate = 0.001, burst = 1, keys = 64 }\n";
/// A limit that admits one request at a time.
const AT_ONCE: &str =
    "[[rule]]\nname = 'at-once'\nwhen = 'request.path == \"/once\"'\ngo_on = true\n\
                       limit = { key = '\"all\"', at_once = 1 }\n";

/// Clients are held by a limit while an operator edits other rules. If a reload began the limit anew, each reload would let
/// a burst through.
#[test]
fn limits_keep_their_state_whatever_else_is_edited() {
    for seed in seeds() {
        println!("seed {seed}");
        let random = &mut Rand32::new(seed);
        let mut file = File::new(random);
        file.rules
            .retain(|rule| !rule.contains("limit") && !rule.contains("nack"));
        let with = |file: &File, limit: &str| {
            format!("{POOLS}{AT_ONCE}{}{limit}", file.text().replace(POOLS, ""))
        };
        let mut router = Router::new(read_on(&with(&file, LIMIT), None).unwrap());
        router.count_ready([u64::MAX].into_iter());
        let other = Request {
            partner: Some("other"),
            ..request("/once")
        };
        let Verdict::Forward(in_flight) = router.route(&other, 0.0) else {
            panic!("rejected at first")
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
            file.mend();
            // The rule itself is read anew now and then, by a comment in it or by other effects.
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
        // Another rate is another limit, which begins anew.
        let faster = LIMIT.replace("rate = 0.001", "rate = 0.002");
        replace(&mut router, &with(&file, &faster), 1.0);
        router.count_ready([u64::MAX].into_iter());
        assert!(matches!(
            router.route(&request("/once"), 1.0),
            Verdict::Forward(_)
        ));
    }
}

/// Reading and dropping rules takes long. Were they bound to the serving thread, every reload would hold requests up.
#[test]
fn rules_are_read_and_dropped_on_other_threads_than_the_serving_one() {
    fn can_change_threads<T: Send>() {}
    fn can_be_shared<T: Send + Sync + Clone>() {}
    can_be_shared::<Rules>();
    can_change_threads::<Replaced>();
    can_change_threads::<LimitPermit>();
}
