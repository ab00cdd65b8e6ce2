//! One instance of an inventory: its fields with types, ranges and defaults. It owns the schema and the judgement
//! of each value by itself. It must never fill in what is wrong: a value that makes no sense is a fault.

use crate::fault::{Faults, Place};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

/// Port of a host that names none.
pub const PORT: u16 = 6379;
/// Longest name of a host, and longest label.
const MAX_NAME: usize = 128;
/// Most labels of a host.
pub const MAX_LABELS: usize = 32;

/// The fields that are read; whatever else a file holds of a host becomes a label.
pub const FIELDS: [&str; 12] = [
    "name",
    "address",
    "ansible_host",
    "ansible_port",
    "zone",
    "cell",
    "weight",
    "capacity",
    "protocol",
    "state",
    "drain_by",
    "started",
];

/// The wire of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Protocol {
    /// The platform's RESP2.
    #[default]
    Resp,
    /// HTTP/2.
    Http2,
}

/// Whether an instance takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum State {
    /// It does.
    #[default]
    Active,
    /// It finishes its work and gets nothing new; by this Unix time, in seconds, it is gone, if one is given.
    Draining(Option<f64>),
    /// It is not there.
    Out,
}

/// An instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone by name; none: the first of the settings.
    pub zone: Option<String>,
    /// Its cell.
    pub cell: u32,
    /// Its weight beside the other instances.
    pub weight: f64,
    /// What it can do, in the operator's unit; known to be one thing only.
    pub capacity: Option<f64>,
    /// Its wire.
    pub protocol: Protocol,
    /// Its state.
    pub state: State,
    /// When it started, Unix seconds; 0: long ago.
    pub started: f64,
    /// What else is kept of it.
    pub labels: BTreeMap<String, String>,
    /// Groups that it is in, by name.
    pub groups: Vec<String>,
    /// Where it stands.
    pub place: Place,
}

/// What hosts are judged by.
#[derive(Clone, Debug, Default)]
pub struct Schema {
    /// Zones of the settings.
    pub zones: Vec<String>,
    /// Names of columns or variables, and the fields that they are.
    pub columns: BTreeMap<String, String>,
}

impl Schema {
    /// The field that a column or a variable is.
    pub(crate) fn field<'a>(&'a self, name: &'a str) -> &'a str {
        self.columns.get(name).map_or(name, String::as_str)
    }
}

/// A value of a host as it stands in the file.
#[derive(Clone, Debug)]
pub(crate) struct Raw {
    /// None: it is no single value.
    pub(crate) text: Option<String>,
    pub(crate) place: Place,
}

/// The host of these values, if none is wrong.
#[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
pub(crate) fn host(
    name: &str,
    place: &Place,
    values: &BTreeMap<String, Raw>,
    groups: Vec<String>,
    schema: &Schema,
    faults: &mut Faults,
) -> Option<Host> {
    let before = faults.0.len();
    for field in FIELDS {
        if let Some(raw) = values.get(field).filter(|raw| raw.text.is_none()) {
            faults.error(&raw.place, field, "", "is not a single value", "");
        }
    }
    let get = |field: &str| {
        let raw = values.get(field)?;
        let text = raw.text.as_deref()?.trim();
        (!text.is_empty()).then_some((text, &raw.place))
    };
    if name.is_empty() || name.len() > MAX_NAME || name.chars().any(char::is_control) {
        faults.error(
            place,
            "name",
            name,
            "cannot be a name",
            format!("1 to {MAX_NAME} characters"),
        );
    }
    let address = address(name, place, &get, faults);
    let mut number = |field: &str, absent: f64, min: f64, max: f64, whole: bool| {
        let Some((text, at)) = get(field) else {
            return absent;
        };
        let value = text
            .parse::<f64>()
            .ok()
            .filter(|v| *v >= min && *v <= max && !(whole && v.fract() != 0.0));
        // Only what is written in digits: Rust also reads `inf` and `1e9`.
        let plain = text
            .bytes()
            .all(|b| b.is_ascii_digit() || matches!(b, b'.' | b'-'));
        value.filter(|_| plain).unwrap_or_else(|| {
            let kind = if whole { "a whole number" } else { "a number" };
            faults.error(
                at,
                field,
                text,
                format!("is not {kind} from {min} to {max}"),
                "",
            );
            absent
        })
    };
    let cell = number("cell", 0.0, 0.0, 1e9, true) as u32;
    let weight = number("weight", 1.0, 0.01, 1000.0, false);
    let capacity = number("capacity", -1.0, 0.0, 1e9, false);
    let started = number("started", 0.0, 0.0, 1e11, false);
    let by = number("drain_by", 0.0, 0.0, 1e11, false);
    let protocol = match get("protocol") {
        None | Some(("resp", _)) => Protocol::Resp,
        Some(("http2", _)) => Protocol::Http2,
        Some((text, at)) => {
            faults.error(
                at,
                "protocol",
                text,
                "is no protocol",
                "resp or http2 was expected",
            );
            Protocol::Resp
        }
    };
    let state = match get("state") {
        None | Some(("active", _)) => State::Active,
        Some(("draining", _)) => State::Draining((by > 0.0).then_some(by)),
        Some(("out", _)) => State::Out,
        Some((text, at)) => {
            let help = match near(text, ["active", "draining", "out"].into_iter()) {
                Some(near) => format!("{near} was meant?"),
                None => "active, draining or out was expected".into(),
            };
            faults.error(at, "state", text, "is no state", help);
            State::Active
        }
    };
    if by > 0.0 && !matches!(state, State::Draining(_)) {
        faults.warning(
            place,
            "drain_by",
            "",
            "stands beside a state that does not drain",
            "state = draining was meant?",
        );
    }
    let zone = get("zone").and_then(|(text, at)| {
        if schema.zones.iter().any(|zone| zone == text) {
            return Some(text.to_string());
        }
        if let Some(near) = near(text, schema.zones.iter().map(String::as_str)) {
            faults.warning(
                at,
                "zone",
                text,
                "is not in the settings",
                format!("taken as {near}, spelled nearly so"),
            );
            return Some(near.to_string());
        }
        faults.error(
            at,
            "zone",
            text,
            "is not in the settings",
            format!("known are {}", schema.zones.join(", ")),
        );
        None
    });
    let labels = values.iter().filter(|(name, raw)| {
        let own = FIELDS.contains(&name.as_str()) || name.starts_with("ansible_");
        !own && raw
            .text
            .as_deref()
            .is_some_and(|text| !text.trim().is_empty() && text.len() <= MAX_NAME)
    });
    let labels =
        labels.filter_map(|(name, raw)| Some((name.clone(), raw.text.clone()?.trim().to_string())));
    let labels = labels.take(MAX_LABELS).collect();
    let failed = faults.0[before.min(faults.0.len())..]
        .iter()
        .any(|f| f.weight == crate::Weight::Error);
    let address = address.filter(|_| !failed)?;
    let (name, place, capacity) = (
        name.to_string(),
        place.clone(),
        (capacity >= 0.0).then_some(capacity),
    );
    Some(Host {
        name,
        address,
        zone,
        cell,
        weight,
        capacity,
        protocol,
        state,
        started,
        labels,
        groups,
        place,
    })
}

fn address<'v>(
    name: &str,
    place: &Place,
    get: &impl Fn(&str) -> Option<(&'v str, &'v Place)>,
    faults: &mut Faults,
) -> Option<SocketAddr> {
    let port = match get("ansible_port") {
        None => PORT,
        Some((text, at)) => match text.parse::<u16>().ok().filter(|port| *port > 0) {
            Some(port) => port,
            None => {
                faults.error(at, "ansible_port", text, "is not a port", "1 to 65535");
                return None;
            }
        },
    };
    if let Some((text, at)) = get("address") {
        let found = text
            .parse::<SocketAddr>()
            .ok()
            .filter(|addr| addr.port() > 0);
        if found.is_none() {
            faults.error(
                at,
                "address",
                text,
                "is not an IP address and port",
                "such as 10.0.0.4:6379 or [fd00::4]:6379",
            );
        }
        return found;
    }
    let ip = |text: &str| {
        text.trim_start_matches('[')
            .trim_end_matches(']')
            .parse::<IpAddr>()
            .ok()
    };
    if let Some((text, at)) = get("ansible_host") {
        let found = ip(text).map(|ip| SocketAddr::new(ip, port));
        if found.is_none() {
            faults.error(
                at,
                "ansible_host",
                text,
                "is not an IP address",
                "names are not looked up here",
            );
        }
        return found;
    }
    // A host's name may be its address.
    let found = name
        .parse::<SocketAddr>()
        .ok()
        .or_else(|| ip(name).map(|ip| SocketAddr::new(ip, port)));
    if found.is_none() {
        faults.error(
            place,
            "address",
            "",
            "is missing",
            "give address, or ansible_host with an IP address",
        );
    }
    found
}

/// The known name that a wrong one nearly is.
pub(crate) fn near<'a>(wrong: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    if wrong.len() > 64 {
        return None;
    }
    let max = (wrong.chars().count() / 3).clamp(1, 2);
    let nearest = known
        .map(|name| (strsim::damerau_levenshtein(wrong, name), name))
        .min();
    nearest
        .filter(|(distance, _)| *distance <= max)
        .map(|(_, name)| name)
}
