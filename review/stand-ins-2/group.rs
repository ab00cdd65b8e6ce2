//! A group of three ingresses on folders that last. An operator suspends an endpoint and gets a yes;
//! two of the three ingresses are killed and one of them comes back.

mod common;
use common::*;
use std::sync::{Arc, Mutex};

const NAMES: [&str; 3] = ["n1", "n2", "n3"];
/// The page's grace of a drain, and 50 ms on sockets.
const GRACE_MS: f64 = 2000.0 + 50.0;
/// The second that a call to take a backend out may take.
const CALL_MS: f64 = 1000.0;

/// Time between two requests at n1: about what three ingresses get together on an ordinary day, now that
/// two of them are down.
const SPACING_MS: f64 = 7.0;

struct Ports {
    listen: u16,
    operator: u16,
    link: u16,
}

fn main() {
    let place = Place::new();
    let record = Record::new(&place.case);
    let arrivals: Arrivals = Arc::default();
    let endpoints: Vec<RespEndpoint> =
        (1..=3).map(|i| RespEndpoint::start(&record, &format!("e{i}"), arrivals.clone(), 20.0, 0)).collect();
    let listed = (1..).zip(&endpoints).map(|(i, e)| Listed::resp(i, e.port));
    let discovery = Discovery::start(&record, listed.collect());
    let counter = start_counter();
    let free = free_ports(9);
    let ports: Vec<Ports> = free.chunks(3).map(|p| Ports { listen: p[0], operator: p[1], link: p[2] }).collect();
    let members: Vec<String> = NAMES.iter().zip(&ports).map(|(name, p)| format!("{name} = \"127.0.0.1:{}\"\n", p.link)).collect();
    let start_of = |i: usize| {
        let mut settings = Settings::new();
        (settings.position, settings.balancers) = (i, 3);
        let config = Config {
            name: NAMES[i], listen: ports[i].listen, discovery: discovery.port, counter,
            operator: Some(ports[i].operator), known: discovery.known(), settings,
        };
        IngressStart {
            name: NAMES[i],
            config: config.json(),
            operator: Some(format!(
                "[group]\nlisten = \"127.0.0.1:{}\"\nfolder = \"group-{}\"\n[group.members]\n{}",
                ports[i].link, NAMES[i], members.concat()
            )),
            folder: place.folder("group"),
        }
    };
    let init = Ingress::command(&place, &start_of(0), "group init").output().expect("group init");
    record.line(format!("group init: {}", String::from_utf8_lossy(&init.stdout).trim()));
    let mut running: Vec<Option<Ingress>> = (0..3).map(|i| Some(Ingress::start(&place, &start_of(i)))).collect();
    // All three vote, and the group has raised its format, so that its start is over.
    let complete = |answer: &str| {
        answer.starts_with("ACK") && answer.contains("changing=no") && answer.contains(" form=2 ") && answer.matches(":votes").count() == 3
    };
    let formed = wait_for(25_000.0, || {
        sleep_ms(100.0);
        complete(&operator_call(ports[0].operator, "GROUP STATUS")) && ports.iter().all(|p| pongs(p.listen))
    });
    if !formed {
        running.clear();
        finish(&place, &record, COULD_NOT_RUN, "the group did not form");
    }
    record.line(format!("group: {}", operator_call(ports[0].operator, "GROUP STATUS")));
    let answer = operator_call(ports[0].operator, "SUSPEND s-1");
    record.line(format!("operator to n1: SUSPEND s-1: {answer}"));
    if !answer.starts_with("ACK") {
        running.clear();
        finish(&place, &record, COULD_NOT_RUN, "the call was not acknowledged");
    }
    let called = now_ms();
    sleep_ms(CALL_MS + GRACE_MS + 500.0);
    let results: Arc<Mutex<Vec<(String, Answer)>>> = Arc::default();
    let send = |i: u64, phase: &str, port: u16| {
        let (results, record, id) = (results.clone(), record.clone(), format!("{phase}-{i}"));
        std::thread::spawn(move || {
            let words = request_words("book-rebroadcast", false, 0x100 + i % 40, &id, 2000, "");
            let words: Vec<&str> = words.iter().map(String::as_str).collect();
            let Ok(mut client) = RespClient::connect(port) else { return };
            if client.send(&words).is_ok() {
                let answer = client.read(4000.0);
                record.line(format!("client of n1: {id}: {}", answer.text()));
                results.lock().unwrap().push((id, answer));
            }
        })
    };
    let before: Vec<_> = (0..40).map(|i| {
        sleep_ms(25.0);
        send(i, "before", ports[0].listen)
    }).collect();
    before.into_iter().for_each(|t| drop(t.join()));
    if trouble() {
        for i in [0, 1] {
            record.line(format!("SIGKILL to {}", NAMES[i]));
            running[i].take().unwrap().kill();
        }
        let killed = now_ms();
        // They come back after 1.4 to 6 s: n1 after 2 s, n2 after 6 s.
        sleep_until(killed + 2000.0);
        record.line("n1 starts again, with its folder");
        running[0] = Some(Ingress::start(&place, &start_of(0)));
    }
    if !wait_for(10_000.0, || pongs(ports[0].listen)) {
        running.clear();
        finish(&place, &record, COULD_NOT_RUN, "n1 did not become ready");
    }
    record.line(format!("n1 says +PONG; {}", operator_call(ports[0].operator, "STATUS")));
    let again = now_ms();
    let mut after = Vec::new();
    let mut n2_started = !trouble();
    let mut i = 0;
    while now_ms() < again + 5000.0 {
        if !n2_started && now_ms() > again + 3700.0 {
            n2_started = true;
            record.line("n2 starts again, with its folder");
            running[1] = Some(Ingress::start(&place, &start_of(1)));
        }
        after.push(send(i, "after", ports[0].listen));
        i += 1;
        sleep_until(again + i as f64 * SPACING_MS);
    }
    after.into_iter().for_each(|t| drop(t.join()));
    record.line(format!("group: {}", operator_call(ports[0].operator, "GROUP STATUS")));
    record.line(format!("group: {}", operator_call(ports[0].operator, "GROUP OUT")));
    running.clear();
    let arrivals = arrivals.lock().unwrap();
    let at = |phase: &str, endpoint: &str| {
        arrivals.iter().filter(|a| a.id.starts_with(phase) && a.endpoint == endpoint).map(|a| a.at_ms - again).collect::<Vec<f64>>()
    };
    let served = results.lock().unwrap().iter().filter(|(id, a)| id.starts_with("before") && matches!(a, Answer::Value(_))).count();
    let too_late = arrivals.iter().filter(|a| a.endpoint == "e1" && a.at_ms > called + CALL_MS + GRACE_MS).count();
    let (first, last) = (at("after", "e1").first().copied(), at("after", "e1").last().copied());
    record.line(format!(
        "s-1 (e1) got {} requests more than {} ms after the yes, from {first:.0?} to {last:.0?} ms after n1's +PONG; the others got {} and {}",
        too_late, CALL_MS + GRACE_MS, at("after", "e2").len(), at("after", "e3").len()
    ));
    if served < 20 {
        finish(&place, &record, COULD_NOT_RUN, "fewer than half of the requests before the kill were served");
    }
    if too_late == 0 {
        finish(&place, &record, HELD, "the suspended endpoint got no request");
    }
    finish(&place, &record, BROKEN, &format!("the suspended endpoint got {too_late} requests after the restart"))
}
