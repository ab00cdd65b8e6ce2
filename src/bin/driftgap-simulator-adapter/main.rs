//! The adapter: endpoints many ingresses on the simulator's wire over standard input and output.
//! It maps records to events and actions to records, and decides nothing.

mod wire;

use driftgap::config::settings;
use driftgap::decision::DecisionEngine;
use std::collections::BTreeMap;
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::process::ExitCode;
use wire::{encode, Reader, Record};

/// Largest frame taken in; a longer one is a broken length.
const MAX_FRAME: usize = 1 << 30;

/// Reads `buffer.len()` bytes; false at a clean end of input before the first byte.
fn fill(input: &mut impl Read, buffer: &mut [u8]) -> Result<bool, String> {
    let mut got = 0;
    while got < buffer.len() {
        match input.read(&mut buffer[got..]) {
            Ok(0) if got == 0 => return Ok(false),
            Ok(0) => return Err(format!("input ends after {got} of {} bytes", buffer.len())),
            Ok(n) => got += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("cannot read: {e}")),
        }
    }
    Ok(true)
}

/// Carries out one frame and returns the reply's records.
fn frame(
    now: f64,
    body: &[u8],
    hosted: &mut BTreeMap<u16, DecisionEngine>,
) -> Result<Vec<u8>, String> {
    let mut reader = Reader::new(body);
    let (mut reply, mut actions) = (Vec::new(), Vec::new());
    while let Some(record) = reader.record()? {
        match record {
            Record::Born { who, seed, setup } => {
                let settings = settings::settings(&setup)
                    .map_err(|e| format!("Born of instance {who}: {e}"))?;
                let ingress = DecisionEngine::new(settings, seed)
                    .map_err(|e| format!("Born of instance {who}: settings: {e}"))?;
                hosted.insert(who, ingress);
            }
            Record::Kill { who } => {
                hosted.remove(&who);
            }
            Record::Skip => {}
            Record::For { who, event } => {
                let ingress = hosted
                    .get_mut(&who)
                    .ok_or_else(|| format!("an event for instance {who}, which was never born"))?;
                ingress.handle(now, event, &mut actions);
                for action in actions.drain(..) {
                    encode(who, &action, &mut reply);
                }
            }
        }
    }
    Ok(reply)
}

fn run() -> Result<(), String> {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    let mut hosted = BTreeMap::new();
    let (mut header, mut body) = ([0; 12], Vec::new());
    let mut count = 0u64;
    while fill(&mut input, &mut header).map_err(|e| format!("frame {count}, header: {e}"))? {
        let (length, clock) = header.split_at(4);
        let size = length.iter().fold(0, |n, b| n << 8 | usize::from(*b));
        let now = Reader::new(clock).f64()?;
        if size > MAX_FRAME {
            return Err(format!("frame {count}: a length of {size} bytes"));
        }
        body.resize(size, 0);
        if size > 0 && !fill(&mut input, &mut body)? {
            return Err(format!("frame {count}: input ends before its {size} bytes"));
        }
        let reply = frame(now, &body, &mut hosted).map_err(|e| format!("frame {count}: {e}"))?;
        let write = |output: &mut BufWriter<_>| -> io::Result<()> {
            output.write_all(&(reply.len() as u32).to_be_bytes())?;
            output.write_all(&reply)?;
            output.flush()
        };
        write(&mut output).map_err(|e| format!("cannot write: {e}"))?;
        count += 1;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("driftgap-simulator-adapter: {e}");
            ExitCode::from(2)
        }
    }
}
