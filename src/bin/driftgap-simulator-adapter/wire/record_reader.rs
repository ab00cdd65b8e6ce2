//! Decodes the records of a frame to events.

use crate::wire::byte_reader::ByteReader;
use crate::wire::WireError;
use driftgap::decision::{
    AttemptEnd, EndpointEntry, EndpointState, Event, ListKind, Outcome, Request, ALL_ENDPOINTS,
};

/// Largest number of ingresses in a request: the wire numbers them with two bytes.
const MAX_INGRESSES: f64 = 65_535.0;
/// The bit of a request's flags that marks a retry by the client.
const RETRY_FLAG: u8 = 2;

/// A record for one of the ingresses that the adapter runs.
#[derive(Debug, PartialEq)]
pub enum Record {
    /// A new ingress starts.
    Start {
        /// The ingress.
        ingress: u16,
        /// The seed of its random numbers.
        seed: u64,
        /// The settings of the ingress (JSON text).
        settings: String,
    },
    /// An ingress is killed.
    Stop {
        /// The ingress.
        ingress: u16,
    },
    /// A record that the decision module does not use.
    Ignored,
    /// An event for the decision module of an ingress.
    Event {
        /// The ingress.
        ingress: u16,
        /// The event.
        event: Event,
    },
}

/// The kinds of records, under their names on the wire.
#[derive(Clone, Copy)]
enum RecordKind {
    Born,
    Targets,
    Query,
    First,
    Response,
    Aborted,
    Bell,
    Echo,
    Inbox,
    Kill,
    CounterReply,
}

impl RecordKind {
    fn from_code(code: u8) -> Option<RecordKind> {
        Some(match code {
            1 => RecordKind::Born,
            2 => RecordKind::Targets,
            3 => RecordKind::Query,
            4 => RecordKind::First,
            5 => RecordKind::Response,
            6 => RecordKind::Aborted,
            7 => RecordKind::Bell,
            8 => RecordKind::Echo,
            9 => RecordKind::Inbox,
            10 => RecordKind::Kill,
            11 => RecordKind::CounterReply,
            _ => return None,
        })
    }

    /// The kind's name on the wire.
    fn name(self) -> &'static str {
        match self {
            RecordKind::Born => "Born",
            RecordKind::Targets => "Targets",
            RecordKind::Query => "Query",
            RecordKind::First => "First",
            RecordKind::Response => "Response",
            RecordKind::Aborted => "Aborted",
            RecordKind::Bell => "Bell",
            RecordKind::Echo => "Echo",
            RecordKind::Inbox => "Inbox",
            RecordKind::Kill => "Kill",
            RecordKind::CounterReply => "CounterReply",
        }
    }
}

/// Decodes the records of one frame.
pub struct RecordReader<'a> {
    bytes: ByteReader<'a>,
}

impl<'a> RecordReader<'a> {
    /// Creates a reader of `bytes`, the records of a frame.
    pub fn new(bytes: &'a [u8]) -> Self {
        RecordReader {
            bytes: ByteReader::new(bytes),
        }
    }

    /// Decodes the next record; `None` at the end of the frame.
    ///
    /// # Errors
    /// The bytes are not a valid record; the text gives the record's name and the position.
    pub fn next_record(&mut self) -> Result<Option<Record>, WireError> {
        if self.bytes.is_at_end() {
            return Ok(None);
        }
        let start = self.bytes.position();
        self.bytes.begin_record();
        let code = self.bytes.u8()?;
        let kind = RecordKind::from_code(code).ok_or(WireError::UnknownEvent {
            position: start,
            code,
        })?;
        self.bytes.name_record(kind.name());
        let ingress = self.bytes.u16()?;
        let event = match kind {
            RecordKind::Born => return self.start(start, ingress).map(Some),
            RecordKind::Kill => return Ok(Some(Record::Stop { ingress })),
            RecordKind::Inbox => {
                self.skip_message()?;
                return Ok(Some(Record::Ignored));
            }
            RecordKind::Targets => self.endpoint_list()?,
            RecordKind::Query => self.request_arrived()?,
            RecordKind::First => self.stream_started()?,
            RecordKind::Response => self.attempt_ended()?,
            RecordKind::Aborted => Event::ClientGone {
                id: self.bytes.u32()?,
            },
            RecordKind::Bell => Event::Timer {
                token: self.bytes.u64()?,
            },
            RecordKind::Echo => self.probe_ended()?,
            RecordKind::CounterReply => self.counter_answered()?,
        };
        Ok(Some(Record::Event { ingress, event }))
    }

    fn start(&mut self, record_start: usize, ingress: u16) -> Result<Record, WireError> {
        let seed = self.bytes.u64()?;
        let length = self.bytes.u32()?;
        let text = self.bytes.take(length as usize)?.to_vec();
        let settings = String::from_utf8(text).map_err(|_| WireError::SettingsNotText {
            position: record_start,
        })?;
        Ok(Record::Start {
            ingress,
            seed,
            settings,
        })
    }

    fn skip_message(&mut self) -> Result<(), WireError> {
        let _sender = self.bytes.u32()?;
        let length = self.bytes.u16()?;
        self.bytes.take(usize::from(length))?;
        Ok(())
    }

    fn endpoint_list(&mut self) -> Result<Event, WireError> {
        let kind = match self.bytes.u8()? {
            0 => ListKind::Delta,
            1 => ListKind::Full,
            2 => ListKind::Cached,
            3 => ListKind::Failed,
            code => return Err(self.bytes.unknown_value("kind", code)),
        };
        let _version = self.bytes.u32()?;
        let count = self.bytes.u32()?;
        let entries = (0..count)
            .map(|_| self.endpoint_entry())
            .collect::<Result<Vec<_>, _>>()?;
        Ok(Event::EndpointList { kind, entries })
    }

    fn endpoint_entry(&mut self) -> Result<EndpointEntry, WireError> {
        let id = self.bytes.u32()?;
        let zone = self.bytes.u8()?;
        let _kind = self.bytes.u16()?;
        let cell = self.bytes.u16()?;
        let state = match self.bytes.u8()? {
            0 => EndpointState::Ready,
            1 => EndpointState::Gone,
            2 => EndpointState::Draining,
            code => {
                self.bytes.name_record("Entry");
                return Err(self.bytes.unknown_value("state", code));
            }
        };
        Ok(EndpointEntry {
            id,
            zone: u32::from(zone),
            cell: u32::from(cell),
            state,
            capacity: self.bytes.f32()?,
            started_at: self.bytes.f64()?,
            pools: ALL_ENDPOINTS,
        })
    }

    fn request_arrived(&mut self) -> Result<Event, WireError> {
        let id = self.bytes.u32()?;
        let give_up = self.bytes.f64()?;
        let spread = self.bytes.f32()?.clamp(1.0, MAX_INGRESSES) as u32;
        let class = usize::from(self.bytes.u8()?);
        let plan = usize::from(self.bytes.u16()?);
        let first = self.bytes.f32()?.clamp(0.0, MAX_INGRESSES) as u32;
        let tenant = self.bytes.u64()?;
        let units = self.bytes.f32()?;
        let flags = self.bytes.u8()?;
        Ok(Event::RequestArrived(Request {
            id,
            gives_up_at: give_up,
            class,
            plan,
            tenant,
            units,
            ingress_count: spread,
            first_ingress: first,
            is_retry: flags & RETRY_FLAG != 0,
            pools: ALL_ENDPOINTS,
        }))
    }

    fn stream_started(&mut self) -> Result<Event, WireError> {
        let id = self.bytes.u32()?;
        let attempt = u32::from(self.bytes.u16()?);
        let _endpoint = self.bytes.u32()?;
        let _duration = self.bytes.f64()?;
        Ok(Event::StreamStarted { id, attempt })
    }

    fn attempt_ended(&mut self) -> Result<Event, WireError> {
        let id = self.bytes.u32()?;
        let attempt = u32::from(self.bytes.u16()?);
        let _endpoint = self.bytes.u32()?;
        let outcome = self.outcome()?;
        let _duration = self.bytes.f64()?;
        let request_finished = self.bytes.u8()? != 0;
        let _used = self.bytes.u16()?;
        let units = self.bytes.u16()?;
        Ok(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            outcome,
            request_finished,
            settled_units: (units > 0).then_some(f64::from(units)),
            report: self.load_report()?,
        }))
    }

    fn probe_ended(&mut self) -> Result<Event, WireError> {
        let endpoint = self.bytes.u32()?;
        let outcome = self.outcome()?;
        let _duration = self.bytes.f64()?;
        Ok(Event::ProbeEnded {
            endpoint,
            outcome,
            report: self.load_report()?,
        })
    }

    fn counter_answered(&mut self) -> Result<Event, WireError> {
        let name = self.bytes.u64()?;
        let outcome = self.outcome()?;
        let total = self.bytes.f32()?;
        let _duration = self.bytes.f64()?;
        Ok(Event::CounterAnswered {
            name,
            outcome,
            total,
        })
    }

    fn load_report(&mut self) -> Result<Vec<f64>, WireError> {
        let columns = self.bytes.u8()?;
        (0..columns).map(|_| self.bytes.f32()).collect()
    }

    fn outcome(&mut self) -> Result<Outcome, WireError> {
        Ok(match self.bytes.u8()? {
            10 => Outcome::Ok,
            20 => Outcome::Error,
            30 => Outcome::Rejected,
            40 => Outcome::Timeout,
            50 => Outcome::ConnectFailed,
            60 => Outcome::Reset,
            70 => Outcome::Cancelled,
            80 => Outcome::NotSent,
            code => return Err(self.bytes.unknown_value("outcome", code)),
        })
    }
}
