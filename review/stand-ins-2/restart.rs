//! A planned restart while clients over HTTP/2 read long values slowly.

mod common;
mod http2;
use common::*;
use http2::*;

/// Length of a value; the pages allow 4 MiB.
const VALUE_BYTES: usize = 1 << 20;
/// Bytes that each client reads a second.
const READ_RATE: f64 = 600e3;
const CLIENTS: usize = 5;
/// Time of the requests (`d`), ms.
const D_MS: u64 = 1200;
/// SIGKILL comes no earlier than the longest deadline and this long after SIGTERM, ms.
const KILL_MARGIN_MS: f64 = 700.0;
const LONGEST_DEADLINE_MS: f64 = 3000.0;

fn main() {
    let place = Place::new();
    let record = Record::new(&place.case);
    let arrivals: Arrivals = Default::default();
    let endpoints: Vec<RespEndpoint> =
        (1..=3).map(|i| RespEndpoint::start(&record, &format!("e{i}"), arrivals.clone(), 60.0, VALUE_BYTES)).collect();
    let listed = (1..).zip(&endpoints).map(|(i, e)| Listed::resp(i, e.port));
    let discovery = Discovery::start(&record, listed.collect());
    let counter = start_counter();
    let free = free_ports(3);
    let config = Config {
        name: "n1", listen: free[0], discovery: discovery.port, counter,
        operator: Some(free[2]), known: discovery.known(), settings: Settings::new(),
    };
    let start = IngressStart {
        name: "n1",
        config: config.json(),
        operator: Some(format!("[http2]\nlisten = \"127.0.0.1:{}\"\n", free[1])),
        folder: place.folder("n1"),
    };
    let mut ingress = Ingress::start(&place, &start);
    if !wait_for(15_000.0, || pongs(free[0])) {
        drop(ingress);
        finish(&place, &record, COULD_NOT_RUN, "the ingress did not become ready");
    }
    let mut clients: Vec<(Client, u32)> = Vec::new();
    for i in 0..CLIENTS {
        let options = ClientOptions { window: 8 << 20, read_rate: READ_RATE };
        let mut client = Client::connect(free[1], options).expect("a connection");
        let stream = client.request("fetch-episode", 0x100 + i as u64, &format!("f{i}"), D_MS, None, b"");
        record.line(format!("client {i}: fetch-episode f{i} sent; it reads {READ_RATE} bytes a second"));
        clients.push((client, stream));
        sleep_ms(40.0);
    }
    let begun = wait_for(D_MS as f64 + 50.0, || clients.iter().all(|(c, s)| c.stream(*s).body > 0 || c.stream(*s).reset.is_some()));
    for (i, (client, stream)) in clients.iter().enumerate() {
        record.line(format!("client {i}: status {}, {} bytes so far", client.stream(*stream).status, client.stream(*stream).body));
    }
    if !begun {
        drop(ingress);
        finish(&place, &record, COULD_NOT_RUN, "not every answer began in time");
    }
    let stop = now_ms();
    if trouble() {
        match std::env::var("STOP_BY").as_deref() {
            Ok("pause") => record.line(format!("operator: PAUSE: {}", operator_call(free[2], "PAUSE"))),
            _ => {
                record.line("SIGTERM");
                ingress.signal("TERM");
            }
        }
    }
    wait_for(LONGEST_DEADLINE_MS + KILL_MARGIN_MS, || {
        clients.iter().all(|(c, s)| c.stream(*s).whole_ms.is_some() || c.ended().is_some())
    });
    let exited = ingress.has_ended();
    record.line(format!("{:.0} ms after SIGTERM; the ingress has exited: {exited}", now_ms() - stop));
    let mut cut = 0;
    for (i, (client, stream)) in clients.iter().enumerate() {
        let s = client.stream(*stream);
        let ended = client.ended();
        let whole = s.whole_ms.is_some() && s.body == VALUE_BYTES;
        record.line(format!("client {i}: status {}, {} of {VALUE_BYTES} bytes, whole: {whole}, reset: {:?}, GOAWAY: {:?}, connection: {ended:?}", s.status, s.body, s.reset, client.goaway()));
        // A client that still reads at the end of its time is not judged.
        cut += usize::from(!whole && ended.is_some());
    }
    drop(ingress);
    let served = clients.iter().filter(|(c, s)| c.stream(*s).whole_ms.is_some()).count();
    record.line(format!("{CLIENTS} values, {served} whole, {cut} cut off"));
    if !trouble() && served < CLIENTS {
        finish(&place, &record, COULD_NOT_RUN, "not every value was whole in calm");
    }
    if cut == 0 {
        finish(&place, &record, HELD, "no value was cut off");
    }
    finish(&place, &record, BROKEN, &format!("{cut} of {CLIENTS} values were cut off by the ingress's close"))
}
