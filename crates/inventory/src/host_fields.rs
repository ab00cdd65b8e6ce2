//! Reads the fields of one host, with their types, ranges and defaults. Each value is checked by
//! itself, and an invalid value is a fault: it is never replaced by a default.

use crate::fault::{Fault, Faults, Location};
use crate::host::{Host, Protocol, Schema, State, FIELDS, MAX_LABELS, MAX_NAME};
use crate::host_address;
use crate::spelling::closest_name;
use std::collections::BTreeMap;

/// The value of a host's field as written in the file.
#[derive(Clone, Debug)]
pub(crate) struct FieldValue {
    /// The text; absent if the value is a list or a mapping.
    pub(crate) text: Option<String>,
    pub(crate) location: Location,
}

/// The fields of one host as read from a file.
pub(crate) struct HostSource<'a> {
    pub(crate) name: &'a str,
    pub(crate) location: &'a Location,
    pub(crate) values: &'a BTreeMap<String, FieldValue>,
    pub(crate) groups: Vec<String>,
}

/// The text of a field, which is not empty, with its location.
#[derive(Clone, Copy)]
pub(crate) struct Text<'a> {
    pub(crate) text: &'a str,
    pub(crate) location: &'a Location,
}

/// A numeric field with its default and range.
struct NumberField {
    name: &'static str,
    default: f64,
    min: f64,
    max: f64,
    is_whole: bool,
}

/// Maximum Unix time of a field, in seconds. A larger number is most likely in another unit.
const MAX_UNIX_TIME_S: f64 = 1e11;

const CELL: NumberField = NumberField {
    name: "cell",
    default: 0.0,
    min: 0.0,
    max: 1e9,
    is_whole: true,
};
const WEIGHT: NumberField = NumberField {
    name: "weight",
    default: 1.0,
    min: 0.01,
    max: 1000.0,
    is_whole: false,
};
/// The default is negative, which stands for a host without a capacity.
const CAPACITY: NumberField = NumberField {
    name: "capacity",
    default: -1.0,
    min: 0.0,
    max: 1e9,
    is_whole: false,
};
const STARTED: NumberField = NumberField {
    name: "started",
    default: 0.0,
    min: 0.0,
    max: MAX_UNIX_TIME_S,
    is_whole: false,
};
/// The default is 0, which stands for a host without a time limit.
const DRAIN_BY: NumberField = NumberField {
    name: "drain_by",
    default: 0.0,
    min: 0.0,
    max: MAX_UNIX_TIME_S,
    is_whole: false,
};

/// Reads a host from its values. Returns `None` and reports each fault if a value is invalid.
pub(crate) fn read_host(source: HostSource, schema: &Schema, faults: &mut Faults) -> Option<Host> {
    let faults_before = faults.count();
    let mut reader = FieldReader { source, faults };
    reader.check_single_values();
    reader.check_name();
    let address = host_address::read(&mut reader);
    let cell = reader.number(&CELL) as u32;
    let weight = reader.number(&WEIGHT);
    let capacity = reader.number(&CAPACITY);
    let started = reader.number(&STARTED);
    let drain_by = reader.number(&DRAIN_BY);
    let protocol = reader.protocol();
    let state = reader.state(drain_by);
    let zone = reader.zone(schema);
    let labels = reader.labels();
    if reader.faults.has_error_since(faults_before) {
        return None;
    }
    Some(Host {
        name: reader.source.name.to_string(),
        address: address?,
        zone,
        cell,
        weight,
        capacity: (capacity >= 0.0).then_some(capacity),
        protocol,
        state,
        started,
        labels,
        groups: reader.source.groups,
        location: reader.source.location.clone(),
    })
}

/// Reads the fields of one host and reports their faults.
pub(crate) struct FieldReader<'a, 'f> {
    pub(crate) source: HostSource<'a>,
    pub(crate) faults: &'f mut Faults,
}

impl<'a> FieldReader<'a, '_> {
    /// Returns a field's text, unless it is absent or empty.
    pub(crate) fn text(&self, field: &str) -> Option<Text<'a>> {
        let value = self.source.values.get(field)?;
        let text = value.text.as_deref()?.trim();
        let location = &value.location;
        (!text.is_empty()).then_some(Text { text, location })
    }

    fn check_single_values(&mut self) {
        for field in FIELDS {
            let value = self.source.values.get(field);
            if let Some(value) = value.filter(|value| value.text.is_none()) {
                let fault = Fault::error(&value.location, "is not a single value");
                self.faults.add(fault.field(field));
            }
        }
    }

    fn check_name(&mut self) {
        let name = self.source.name;
        if name.is_empty() || name.len() > MAX_NAME || name.chars().any(char::is_control) {
            let fault = Fault::error(self.source.location, "is not a valid name")
                .field("name")
                .value(name)
                .help(format!("1 to {MAX_NAME} characters"));
            self.faults.add(fault);
        }
    }

    fn number(&mut self, field: &NumberField) -> f64 {
        let Some(Text { text, location }) = self.text(field.name) else {
            return field.default;
        };
        if let Some(number) = field.parse(text) {
            return number;
        }
        let kind = if field.is_whole {
            "a whole number"
        } else {
            "a number"
        };
        let (min, max) = (field.min, field.max);
        let fault = Fault::error(location, format!("is not {kind} from {min} to {max}"));
        self.faults.add(fault.field(field.name).value(text));
        field.default
    }

    fn protocol(&mut self) -> Protocol {
        let Some(Text { text, location }) = self.text("protocol") else {
            return Protocol::Resp;
        };
        match text {
            "resp" => Protocol::Resp,
            "http2" => Protocol::Http2,
            _ => {
                let fault = Fault::error(location, "is not a protocol")
                    .field("protocol")
                    .value(text)
                    .help("resp or http2 was expected");
                self.faults.add(fault);
                Protocol::Resp
            }
        }
    }

    fn state(&mut self, drain_by: f64) -> State {
        let drain_by = (drain_by > 0.0).then_some(drain_by);
        let state = match self.text("state") {
            None => State::Active,
            Some(text) => self.parse_state(text, drain_by),
        };
        if drain_by.is_some() && !matches!(state, State::Draining(_)) {
            let problem = "has no effect unless the state is draining";
            let fault = Fault::warning(self.source.location, problem)
                .field("drain_by")
                .help("did you mean state = draining?");
            self.faults.add(fault);
        }
        state
    }

    fn parse_state(&mut self, state: Text, drain_by: Option<f64>) -> State {
        let Text { text, location } = state;
        match text {
            "active" => State::Active,
            "draining" => State::Draining(drain_by),
            "out" => State::Out,
            _ => {
                let known = ["active", "draining", "out"].into_iter();
                let help = match closest_name(text, known) {
                    Some(name) => format!("did you mean {name}?"),
                    None => "active, draining or out was expected".into(),
                };
                let fault = Fault::error(location, "is not a state")
                    .field("state")
                    .value(text)
                    .help(help);
                self.faults.add(fault);
                State::Active
            }
        }
    }

    fn zone(&mut self, schema: &Schema) -> Option<String> {
        let Text { text, location } = self.text("zone")?;
        if schema.zones.iter().any(|zone| zone == text) {
            return Some(text.to_string());
        }
        let problem = "is not in the settings";
        let known = schema.zones.iter().map(String::as_str);
        if let Some(zone) = closest_name(text, known) {
            let fault = Fault::warning(location, problem)
                .field("zone")
                .value(text)
                .help(format!("treated as {zone}, which has a similar name"));
            self.faults.add(fault);
            return Some(zone.to_string());
        }
        let fault = Fault::error(location, problem)
            .field("zone")
            .value(text)
            .help(format!("known zones: {}", schema.zones.join(", ")));
        self.faults.add(fault);
        None
    }

    /// Returns the values that are not fields, except Ansible's own variables.
    fn labels(&self) -> BTreeMap<String, String> {
        let others =
            self.source.values.iter().filter(|(name, _)| {
                !FIELDS.contains(&name.as_str()) && !name.starts_with("ansible_")
            });
        let labels = others.filter_map(|(name, value)| {
            let text = value.text.as_deref()?;
            let is_label = !text.trim().is_empty() && text.len() <= MAX_NAME;
            is_label.then(|| (name.clone(), text.trim().to_string()))
        });
        labels.take(MAX_LABELS).collect()
    }
}

impl NumberField {
    /// Parses a number. Returns `None` if it is malformed or out of range.
    fn parse(&self, text: &str) -> Option<f64> {
        // Accepts plain decimal digits only: `f64::parse` also accepts `inf` and `1e9`.
        let has_only_digits = text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || matches!(byte, b'.' | b'-'));
        let number: f64 = text.parse().ok()?;
        let in_range = number >= self.min && number <= self.max;
        let is_allowed = has_only_digits && in_range && !(self.is_whole && number.fract() != 0.0);
        is_allowed.then_some(number)
    }
}
