//! The simulator's adapter: runs the decision modules of many ingresses for the simulator, with its
//! wire format on standard input and output. It converts records to events and actions to records,
//! and makes no decisions.

mod frame;
mod wire;

use driftgap::config::settings::{self, ConfigError};
use driftgap::decision::{DecisionEngine, SettingsError};
use frame::{write_reply, FrameError, FrameReader};
use std::collections::BTreeMap;
use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;
use wire::{encode_action, Record, RecordReader, WireError};

/// Size of the input and output buffers, bytes.
const BUFFER_BYTES: usize = 1 << 16;
/// The exit status after an error.
const EXIT_ERROR: u8 = 2;

/// Why the adapter stops before the end of the input.
#[derive(Debug, thiserror::Error)]
enum AdapterError {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("frame {frame}: {source}")]
    Record { frame: u64, source: RecordError },
    #[error("cannot write a reply: {0}")]
    Write(io::Error),
}

/// Why a record cannot be processed.
#[derive(Debug, thiserror::Error)]
enum RecordError {
    #[error(transparent)]
    Wire(#[from] WireError),
    #[error("Born record of ingress {ingress}: {source}")]
    Settings { ingress: u16, source: ConfigError },
    #[error("Born record of ingress {ingress}: invalid settings: {source}")]
    InvalidSettings { ingress: u16, source: SettingsError },
    #[error("an event for ingress {ingress}, for which there was no Born record")]
    UnknownIngress { ingress: u16 },
}

/// The ingresses that the simulator has started.
#[derive(Default)]
struct Ingresses(BTreeMap<u16, DecisionEngine>);

impl Ingresses {
    /// Processes the records of one frame and returns the records of the reply.
    fn process_records(&mut self, now_s: f64, records: &[u8]) -> Result<Vec<u8>, RecordError> {
        let mut reader = RecordReader::new(records);
        let mut reply = Vec::new();
        let mut actions = Vec::new();
        while let Some(record) = reader.next_record()? {
            match record {
                Record::Start {
                    ingress,
                    seed,
                    settings,
                } => self.start(ingress, seed, &settings)?,
                Record::Stop { ingress } => {
                    self.0.remove(&ingress);
                }
                Record::Ignored => {}
                Record::Event { ingress, event } => {
                    let engine = self
                        .0
                        .get_mut(&ingress)
                        .ok_or(RecordError::UnknownIngress { ingress })?;
                    engine.handle(now_s, event, &mut actions);
                    for action in actions.drain(..) {
                        encode_action(ingress, &action, &mut reply);
                    }
                }
            }
        }
        Ok(reply)
    }

    fn start(&mut self, ingress: u16, seed: u64, settings: &str) -> Result<(), RecordError> {
        let settings = settings::settings(settings)
            .map_err(|source| RecordError::Settings { ingress, source })?;
        let engine = DecisionEngine::new(settings, seed)
            .map_err(|source| RecordError::InvalidSettings { ingress, source })?;
        self.0.insert(ingress, engine);
        Ok(())
    }
}

fn run() -> Result<(), AdapterError> {
    let mut frames = FrameReader::new(BufReader::with_capacity(BUFFER_BYTES, io::stdin().lock()));
    let mut output = BufWriter::with_capacity(BUFFER_BYTES, io::stdout().lock());
    let mut ingresses = Ingresses::default();
    while let Some(now_s) = frames.next_frame()? {
        let reply = ingresses
            .process_records(now_s, frames.records())
            .map_err(|source| AdapterError::Record {
                frame: frames.frame_number(),
                source,
            })?;
        write_reply(&mut output, &reply).map_err(AdapterError::Write)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("driftgap-simulator-adapter: {e}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}
